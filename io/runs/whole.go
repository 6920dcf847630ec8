package runs

import "apricotproxy/core"

// collector holds a whole answer back until it is complete.
type collector struct {
	sink   Sink
	tokens []core.Token
}

// Token keeps a token; the last one releases them all.
func (c *collector) Token(token core.Token) error {
	c.tokens = append(c.tokens, token)
	if !token.Final {
		return nil
	}
	for _, t := range c.tokens {
		if err := c.sink.Token(t); err != nil {
			return err
		}
	}
	return c.sink.Flush()
}

// Flush does nothing: what is kept waits for the last token.
func (c *collector) Flush() error { return nil }

// Ping does nothing: the caller expects no byte before the whole answer.
func (c *collector) Ping() error { return nil }

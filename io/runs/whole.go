package runs

import "apricotproxy/core"

// collector buffers a whole answer until it is complete.
type collector struct {
	sink   Sink
	tokens []core.Token
}

// Token buffers a token; the final one sends all of them.
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

// Flush does nothing: the buffered tokens wait for the final one.
func (c *collector) Flush() error { return nil }

// Ping does nothing: the caller expects no byte before the complete answer.
func (c *collector) Ping() error { return nil }

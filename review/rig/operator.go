package rig

import (
	"encoding/json"
	"fmt"
)

// Route is a route of the configuration.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   int     `json:"timeoutMs"`
	GoalMs      int     `json:"goalMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Anonymous   bool    `json:"anonymous"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
	GapTargetMs float64 `json:"gapTargetMs,omitempty"`
}

// Engine is the engine of a service.
type Engine struct {
	Slots        int     `json:"slots"`
	KvCapacity   int     `json:"kvCapacity"`
	KvTokenBytes int     `json:"kvTokenBytes"`
	LinkMbps     float64 `json:"linkMbps"`
	Moves        bool    `json:"moves"`
	Backups      bool    `json:"backups"`
	Stride       int     `json:"stride"`
}

// Service is a service of the configuration.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdS      float64 `json:"coldS"`
	ColdPerS   float64 `json:"coldPerS"`
	Engine     *Engine `json:"engine,omitempty"`
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// SiteLimits are the limits of the site files and of the pages' example.
var SiteLimits = Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

// Tenant is a tenant of the configuration.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// Configuration is what the operator writes.
type Configuration struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants"`
}

// PutConfiguration writes a configuration and returns its length in bytes.
func (s *Store) PutConfiguration(c *Configuration) (int, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return 0, fmt.Errorf("encode a configuration: %w", err)
	}
	s.Put(_names.Config, text)
	return len(text), nil
}

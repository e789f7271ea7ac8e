package main

// This file owns `thistlequay plugin`: what an author needs before a server sees the module.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"thistlequay/internal/diagnostics"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
)

type pluginCommand struct {
	Check pluginCheck `cmd:"" help:"Compile a module, start it and ask its version, as a server would."`
	Run   pluginRun   `cmd:"" help:"Ask a module about one request and tell its verdict, time and memory."`
}

type moduleBounds struct {
	Engine   string        `enum:"interpreter,compiler" default:"interpreter" help:"How it is run: ${enum}."`
	MemoryKB int           `name:"memory-kb" default:"4096" help:"Memory of an instance."`
	CodeKB   int           `name:"code-kb" default:"8192" help:"Size of the file."`
	Start    time.Duration `default:"5s" help:"Time to start."`
	Call     time.Duration `default:"5ms" help:"Time of one call."`
	Hooks    []string      `default:"read" enum:"read,result,tick" help:"What it is to be asked: ${enum}."`
}

var hookNumbers = map[string]int{"read": abi.HookRead, "result": abi.HookResult, "tick": abi.HookTick}

func (b *moduleBounds) moduleConfig(file string) plugin.ModuleConfig {
	one := plugin.ModuleConfig{Name: file, File: file, MemoryKB: b.MemoryKB, MaxCodeKB: b.CodeKB, MaxStateKB: 64, StartTimeout: b.Start,
		Compile: b.Engine == "compiler"}
	for _, h := range b.Hooks {
		one.Hooks[hookNumbers[h]] = true
	}
	return one
}

type pluginCheck struct {
	moduleBounds `embed:""`
	File         string `arg:"" name:"FILE" help:"The module."`
}

// Run loads it once.
func (c *pluginCheck) Run(out io.Writer) error {
	t, err := plugin.Try(c.moduleConfig(c.File), nil, 0)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: sha256 %s, ready after %v, %d KB of memory an instance\n", c.File, t.SHA256, t.StartupTime.Round(time.Microsecond), t.MemoryKB)
	return err
}

type pluginRun struct {
	moduleBounds `embed:""`
	File         string `arg:"" name:"FILE" help:"The module."`
	Request      string `required:"" placeholder:"FILE" help:"JSON: hook, left_ms, category, tenant, tag, body."`
	Times        int    `default:"1" help:"How often it is asked."`
}

// Run asks it and prints what it says.
func (c *pluginRun) Run(out io.Writer) error {
	text, err := os.ReadFile(c.Request)
	if err != nil {
		return err
	}
	q := struct {
		Hook                        string `json:"hook"`
		Left                        uint32 `json:"left_ms"`
		Category, Tenant, Tag, Body string
	}{Hook: "read", Left: 1000}
	if err := diagnostics.DecodeJSON(text, &q); err != nil {
		return diagnostics.FromError(err).InFile(c.Request)
	}
	hook, known := hookNumbers[q.Hook]
	if !known {
		return diagnostics.LocateJSON(text, diagnostics.List{{Path: "hook", Problem: fmt.Sprintf("%q", q.Hook), Expected: "one of read, result, tick"}}).InFile(c.Request)
	}
	c.Hooks = append(c.Hooks, q.Hook)
	t, err := plugin.Try(c.moduleConfig(c.File), &abi.Request{Hook: hook, TimeLeftMS: q.Left, UnixMS: time.Now().UnixMilli(), Category: q.Category,
		Tenant: q.Tenant, Tag: q.Tag, Body: []byte(q.Body)}, c.Times, c.Call)
	if err != nil {
		return err
	}
	var does []string
	for _, d := range []struct {
		bit  int
		word string
	}{{abi.ActionReject, "decline"}, {abi.ActionCategorize, "categorise"}, {abi.ActionTag, "tag"}, {abi.ActionReplace, "rewrite"}} {
		if t.Verdict.Actions&d.bit != 0 {
			does = append(does, d.word)
		}
	}
	if len(does) == 0 {
		does = []string{"nothing"}
	}
	return json.NewEncoder(out).Encode(map[string]any{"does": strings.Join(does, " "), "status": t.Verdict.Status,
		"category": t.Verdict.Category, "tag": t.Verdict.Tag, "body": string(t.Verdict.Body),
		"took_us": t.LongestCall.Microseconds(), "memory_kb": t.MemoryKB, "says": t.LogLines})
}

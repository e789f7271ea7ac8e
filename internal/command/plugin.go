package command

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

// pluginCommand implements the plugin command, with which authors of plug-ins test a module before a server loads it.
type pluginCommand struct {
	Check pluginCheckCommand `cmd:"" help:"Compile a module, start it and ask its version, as a server would."`
	Run   pluginRunCommand   `cmd:"" help:"Ask a module about one request and print its verdict, time and memory."`
}

// moduleLimits holds the flags for the engine, the resource limits and the hooks of the module under test.
type moduleLimits struct {
	Engine   string        `enum:"interpreter,compiler" default:"interpreter" help:"How it is run: ${enum}."`
	MemoryKB int           `name:"memory-kb" default:"4096" help:"Memory of an instance."`
	CodeKB   int           `name:"code-kb" default:"8192" help:"Size of the file."`
	Start    time.Duration `default:"5s" help:"Time to start."`
	Call     time.Duration `default:"5ms" help:"Time of one call."`
	Hooks    []string      `default:"read" enum:"read,result,tick" help:"What it is to be asked: ${enum}."`
}

// maxStateKB is the maximum state in KB that the module under test may keep.
const maxStateKB = 64

// hookNumbers maps the names of hooks on the command line to their numbers in the plug-in ABI.
var hookNumbers = map[string]int{
	"read":   abi.HookRead,
	"result": abi.HookResult,
	"tick":   abi.HookTick,
}

// moduleConfig returns the configuration for loading the module in a file with these limits.
func (l *moduleLimits) moduleConfig(file string) plugin.ModuleConfig {
	config := plugin.ModuleConfig{
		Name:         file,
		File:         file,
		MemoryKB:     l.MemoryKB,
		MaxCodeKB:    l.CodeKB,
		MaxStateKB:   maxStateKB,
		StartTimeout: l.Start,
		Compile:      l.Engine == "compiler",
	}
	for _, hook := range l.Hooks {
		config.Hooks[hookNumbers[hook]] = true
	}
	return config
}

// pluginCheckCommand implements the plugin check command.
type pluginCheckCommand struct {
	moduleLimits `embed:""`
	File         string `arg:"" name:"FILE" help:"The module."`
}

// Run loads the module without calling its hooks, and prints its SHA-256 hash, startup time and memory.
func (c *pluginCheckCommand) Run(out io.Writer) error {
	result, err := plugin.Check(c.moduleConfig(c.File))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: sha256 %s, ready after %v, %d KB of memory an instance\n",
		c.File, result.SHA256, result.StartupTime.Round(time.Microsecond), result.MemoryKB)
	return err
}

// pluginRunCommand implements the plugin run command.
type pluginRunCommand struct {
	moduleLimits `embed:""`
	File         string `arg:"" name:"FILE" help:"The module."`
	Request      string `required:"" placeholder:"FILE" help:"JSON: hook, left_ms, category, tenant, tag, body."`
	Times        int    `default:"1" help:"How often it is asked."`
}

// sampleRequest is the JSON content of the --request file, which describes the request that the module is called with.
type sampleRequest struct {
	Hook                        string `json:"hook"`
	TimeLeftMS                  uint32 `json:"left_ms"`
	Category, Tenant, Tag, Body string
}

// Run calls the module with the sample request and prints the verdict of the last call as JSON, with the longest call
// and the memory.
func (c *pluginRunCommand) Run(out io.Writer) error {
	request, err := c.readRequest()
	if err != nil {
		return err
	}
	result, err := plugin.Try(c.moduleConfig(c.File), request, c.Times, c.Call)
	if err != nil {
		return err
	}
	verdict := result.Verdict
	return json.NewEncoder(out).Encode(map[string]any{
		"does":      describeActions(verdict.Actions),
		"status":    verdict.Status,
		"category":  verdict.Category,
		"tag":       verdict.Tag,
		"body":      string(verdict.Body),
		"took_us":   result.LongestCall.Microseconds(),
		"memory_kb": result.MemoryKB,
		"says":      result.LogLines,
	})
}

// readRequest reads the sample request and adds its hook to the hooks that the module must implement.
func (c *pluginRunCommand) readRequest() (*abi.Request, error) {
	text, err := os.ReadFile(c.Request)
	if err != nil {
		return nil, err
	}
	sample := sampleRequest{Hook: "read", TimeLeftMS: 1000}
	if err := diagnostics.DecodeJSON(text, &sample); err != nil {
		return nil, diagnostics.FromError(err).InFile(c.Request)
	}
	hook, isKnown := hookNumbers[sample.Hook]
	if !isKnown {
		unknown := diagnostics.Diagnostic{
			Path:     "hook",
			Problem:  fmt.Sprintf("%q", sample.Hook),
			Expected: "one of read, result, tick",
		}
		return nil, diagnostics.LocateJSON(text, diagnostics.List{unknown}).InFile(c.Request)
	}
	c.Hooks = append(c.Hooks, sample.Hook)
	return &abi.Request{
		Hook:       hook,
		TimeLeftMS: sample.TimeLeftMS,
		UnixMS:     time.Now().UnixMilli(),
		Category:   sample.Category,
		Tenant:     sample.Tenant,
		Tag:        sample.Tag,
		Body:       []byte(sample.Body),
	}, nil
}

// describeActions returns the names of the actions in a verdict, separated by spaces, or "nothing". The names are part
// of the command's output format.
func describeActions(actions int) string {
	var words []string
	for _, action := range []struct {
		bit  int
		word string
	}{
		{abi.ActionReject, "decline"},
		{abi.ActionCategorize, "categorise"},
		{abi.ActionTag, "tag"},
		{abi.ActionReplace, "rewrite"},
	} {
		if actions&action.bit != 0 {
			words = append(words, action.word)
		}
	}
	if len(words) == 0 {
		return "nothing"
	}
	return strings.Join(words, " ")
}

// Package hssettings parses and validates the settings of hsentry. Each setting
// is a field of the message Settings in schema/settings.proto, from which its
// flag, environment variable, default and help text are derived.
package hssettings

import (
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hskey"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// Settings are the validated settings of one entry host.
	Settings struct {
		Name     string
		Address  netip.Addr
		Zone     string
		Platform *url.URL
		// Gateway of the fabric, to which packets to callers are sent.
		FabricGateway netip.AddrPort
		// Ports of the data, control and peer sockets; never zero.
		DataPort    uint16
		ControlPort uint16
		PeerPort    uint16
		// Address of the admin page; the zero value if there is none.
		AdminAddr netip.AddrPort
		Key       string
		OldKey    string
		// All durations are between minInterval and maxInterval.
		ProbeInterval  time.Duration
		SuspectTimeout time.Duration
		PauseThreshold time.Duration
		StopTimeout    time.Duration
		IdleTimeout    time.Duration
		// Maximum number of flows, at least 1.
		MaxFlows int
		LogLevel string
	}

	// Field describes one setting as defined in the schema.
	Field struct {
		Name     string
		Env      string
		Help     string
		Default  string
		Required bool
	}

	// checker converts the values of settings by name and collects the errors.
	checker struct {
		values map[string]string
		errs   hscode.Errors
	}
)

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "HSENTRY_"

const (
	maxFlows    = 50_000_000
	minInterval = 10 * time.Millisecond
	maxInterval = 30 * 24 * time.Hour
)

var levels = []string{"debug", "info", "warn", "error"}

// Fields returns all settings in the order of the schema.
func Fields() []Field {
	list := (&hsschema.Settings{}).ProtoReflect().Descriptor().Fields()
	out := make([]Field, list.Len())
	for i := range out {
		out[i] = field(list.Get(i))
	}
	return out
}

func field(d protoreflect.FieldDescriptor) Field {
	s, _ := proto.GetExtension(d.Options(), hsschema.E_Setting).(*hsschema.Setting)
	name := string(d.Name())
	return Field{
		Name:     name,
		Env:      EnvPrefix + strings.ToUpper(name),
		Help:     s.GetHelp(),
		Default:  s.GetValue(),
		Required: s.GetRequired(),
	}
}

// Parse converts and validates the given values of settings, which are keyed by
// name. Settings without a value get their default. The result is valid only if
// no errors are returned.
func Parse(values map[string]string) (Settings, hscode.Errors) {
	c := &checker{values: map[string]string{}}
	for _, f := range Fields() {
		v, ok := values[f.Name]
		if !ok || v == "" {
			v = f.Default
		}
		if v == "" && f.Required {
			c.addError(hscode.SettingMissing, f.Name, "is not set; use --%s or %s", f.Name, f.Env)
		}
		c.values[f.Name] = v
	}
	return c.settings(), c.errs
}

func (c *checker) settings() Settings {
	s := Settings{
		Name:           c.values["name"],
		Address:        c.addr("address"),
		Zone:           c.values["zone"],
		Platform:       c.url("platform"),
		FabricGateway:  c.addrPort("fabric"),
		DataPort:       c.port("data"),
		ControlPort:    c.port("control"),
		PeerPort:       c.port("peer"),
		AdminAddr:      c.addrPort("admin"),
		Key:            c.values["key"],
		OldKey:         c.values["oldkey"],
		ProbeInterval:  c.duration("probe"),
		SuspectTimeout: c.duration("suspect"),
		PauseThreshold: c.duration("lease"),
		StopTimeout:    c.duration("drain"),
		IdleTimeout:    c.duration("idle"),
		MaxFlows:       c.number("flows", 1, maxFlows),
		LogLevel:       c.oneOf("level", levels),
	}
	c.checkKeys(s)
	c.checkAdmin(s)
	return s
}

// checkKeys validates the shared keys with hskey.
func (c *checker) checkKeys(s Settings) {
	if s.Key == "" {
		return
	}
	if _, err := hskey.NewRing(s.Key, s.OldKey); err != nil {
		var codeErr *hscode.Error
		if errors.As(err, &codeErr) {
			c.errs = append(c.errs, codeErr)
		}
	}
}

// checkAdmin refuses an address of the admin page that other hosts could reach,
// since the page is not encrypted.
func (c *checker) checkAdmin(s Settings) {
	if s.AdminAddr.IsValid() && !s.AdminAddr.Addr().IsLoopback() {
		c.addError(hscode.SettingExposed, "admin", "%s is not a loopback address", s.AdminAddr)
	}
}

func (c *checker) addError(code hscode.Code, name, format string, args ...any) {
	c.errs = append(c.errs, hscode.New(code, name, format, args...))
}

func (c *checker) addr(name string) netip.Addr {
	v := c.values[name]
	if v == "" {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(v)
	if err != nil || a.IsUnspecified() || a.Zone() != "" {
		c.addError(hscode.SettingValue, name, "%q is not an IP address", v)
	}
	return a
}

func (c *checker) addrPort(name string) netip.AddrPort {
	v := c.values[name]
	if v == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		c.addError(hscode.SettingValue, name, "%q is not IP:port", v)
	}
	return a
}

func (c *checker) url(name string) *url.URL {
	v := c.values[name]
	if v == "" {
		return nil
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.addError(hscode.SettingValue, name, "%q is not an http or https URL", v)
	}
	return u
}

func (c *checker) port(name string) uint16 {
	return uint16(c.number(name, 1, 1<<16-1))
}

func (c *checker) number(name string, low, high int) int {
	v := c.values[name]
	n, err := strconv.Atoi(v)
	if err != nil {
		c.addError(hscode.SettingValue, name, "%q is not a whole number", v)
		return low
	}
	if n < low || n > high {
		c.addError(hscode.SettingRange, name, "is %d, want %d to %d", n, low, high)
	}
	return n
}

func (c *checker) duration(name string) time.Duration {
	v := c.values[name]
	d, err := time.ParseDuration(v)
	if err != nil {
		c.addError(hscode.SettingValue, name, "%q is not a duration such as 250ms or 2s", v)
		return minInterval
	}
	if d < minInterval || d > maxInterval {
		c.addError(hscode.SettingRange, name, "is %s, want %s to %s", d, minInterval, maxInterval)
	}
	return d
}

// oneOf returns a value that must be one of the given words.
func (c *checker) oneOf(name string, words []string) string {
	v := c.values[name]
	for _, w := range words {
		if v == w {
			return v
		}
	}
	c.addError(hscode.SettingValue, name, "is %q, want %s", v, strings.Join(words, ", "))
	return words[0]
}

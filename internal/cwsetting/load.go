package cwsetting

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/pflag"
	"go.uber.org/zap/zapcore"
)

const minPeerKeyBytes = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// AddFlags defines a flag for every setting.
func AddFlags(flags *pflag.FlagSet) {
	for _, f := range Fields() {
		flags.String(f.Name, f.Default, f.Help+" ("+f.Env+")")
	}
}

// Load reads every setting from its flag, else from the environment, else from
// its default. The error lists every fault at once.
func Load(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) (*Settings, error) {
	return LoadWithDefaults(flags, lookupEnv, nil)
}

// LoadWithDefaults is Load with values that go before the defaults. They come from a source
// that has checked them, such as the settings of the platform.
func LoadWithDefaults(flags *pflag.FlagSet, lookupEnv func(string) (string, bool), given map[string]string) (*Settings, error) {
	s := &Settings{}
	v := reflect.ValueOf(s).Elem()
	var faults []error
	for _, f := range Fields() {
		value, set := f.lookup(flags, lookupEnv)
		if checked, ok := given[f.Name]; ok && !set {
			value, f.check = checked, ""
		}
		if err := f.set(v.Field(f.index), value); err != nil {
			faults = append(faults, fmt.Errorf("--%s or %s: %w", f.Name, f.Env, err))
		}
	}
	return s, errors.Join(faults...)
}

// lookup returns the value and whether the operator set it.
func (f Field) lookup(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) (string, bool) {
	if flag := flags.Lookup(f.Name); flag != nil && flag.Changed {
		return flag.Value.String(), true
	}
	if value, ok := lookupEnv(f.Env); ok {
		return value, true
	}
	return f.Default, false
}

func (f Field) set(v reflect.Value, value string) error {
	switch target := v.Addr().Interface().(type) {
	case *string:
		*target = value
		return checkText(f.check, value)
	case *int:
		n, err := strconv.Atoi(value)
		if err != nil || n <= 0 {
			return fmt.Errorf("%q is not a whole number above 0", value)
		}
		*target = n
	case *float64:
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n > 0) {
			return fmt.Errorf("%q is not a number above 0", value)
		}
		*target = n
	case *time.Duration:
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return fmt.Errorf("%q is not a duration above 0, such as 2s", value)
		}
		*target = d
	}
	return nil
}

func checkText(check, value string) error {
	switch check {
	case "hostport":
		return checkHostPort(value)
	case "peers":
		for _, peer := range SplitPeers(value) {
			if err := checkHostPort(peer); err != nil {
				return err
			}
		}
	case "name":
		if !namePattern.MatchString(value) {
			return fmt.Errorf("%q is not a name of lower-case letters, digits and dashes", value)
		}
	case "url":
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("%q is not an http URL", value)
		}
	case "secret":
		// The value itself stays out of the message.
		if len(value) < minPeerKeyBytes {
			return fmt.Errorf("needs at least %d characters", minPeerKeyBytes)
		}
	case "level":
		if _, err := zapcore.ParseLevel(value); err != nil {
			return fmt.Errorf("%q is not a level", value)
		}
	}
	return nil
}

// SplitPeers splits the value of the peers setting.
func SplitPeers(value string) []string {
	if value == "none" || value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

func checkHostPort(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return fmt.Errorf("%q is not an IP number and port", value)
	}
	return nil
}

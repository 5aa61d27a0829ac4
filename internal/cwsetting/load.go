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

// Load reads each setting from its flag, or else from its environment variable, or
// else takes its default. The error joins the errors of all invalid settings.
func Load(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) (*Settings, error) {
	return LoadWithDefaults(flags, lookupEnv, nil)
}

// LoadWithDefaults is like Load, but the values in defaults, keyed by the name of the
// setting, replace the built-in defaults. Text values in defaults are not checked: they
// come from a source that has checked them, such as the platform's settings file.
func LoadWithDefaults(flags *pflag.FlagSet, lookupEnv func(string) (string, bool), defaults map[string]string) (*Settings, error) {
	s := &Settings{}
	v := reflect.ValueOf(s).Elem()
	var errs []error
	for _, f := range Fields() {
		value, isSet := f.lookup(flags, lookupEnv)
		if checked, ok := defaults[f.Name]; ok && !isSet {
			value, f.check = checked, ""
		}
		if err := f.set(v.Field(f.index), value); err != nil {
			errs = append(errs, fmt.Errorf("--%s or %s: %w", f.Name, f.Env, err))
		}
	}
	return s, errors.Join(errs...)
}

// lookup returns the value of the flag, the environment variable or the built-in
// default. The boolean reports whether the flag or the variable is set.
func (f Field) lookup(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) (string, bool) {
	if flag := flags.Lookup(f.Name); flag != nil && flag.Changed {
		return flag.Value.String(), true
	}
	if value, ok := lookupEnv(f.Env); ok {
		return value, true
	}
	return f.Default, false
}

// set parses the value, checks it and stores it in v. Numbers and durations must be
// above 0.
func (f Field) set(v reflect.Value, value string) error {
	switch target := v.Addr().Interface().(type) {
	case *string:
		*target = value
		return checkText(f.check, value)
	case *int:
		n, err := strconv.Atoi(value)
		if err != nil || n <= 0 {
			return fmt.Errorf("%q is not an integer above 0", value)
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

// checkText checks the value of a text setting. It does not handle the check "positive"
// of numbers and durations, which is part of set.
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
			return fmt.Errorf("%q is not a valid name: only lower-case letters, digits and dashes, at most 63", value)
		}
	case "url":
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("%q is not an http URL", value)
		}
	case "secret":
		// The message must not contain the secret.
		if len(value) < minPeerKeyBytes {
			return fmt.Errorf("must have at least %d characters", minPeerKeyBytes)
		}
	case "level":
		if _, err := zapcore.ParseLevel(value); err != nil {
			return fmt.Errorf("%q is not a log level", value)
		}
	}
	return nil
}

// SplitPeers returns the peer addresses in the value of the peers setting. The value
// "none" and the empty value give no addresses.
func SplitPeers(value string) []string {
	if value == "none" || value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// checkHostPort checks that the value is an IP address with a port. Host names are
// rejected.
func checkHostPort(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return fmt.Errorf("%q is not an IP address and port", value)
	}
	return nil
}

package cwlog_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEveryLineIsInTheLogsPage guards against log messages without documentation. It
// collects the messages of Log.Info, Log.Warn and Log.Error calls in the source of the packages
// that serve routed requests, and looks up each of them in docs/LOGS.md.
func TestEveryLineIsInTheLogsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/LOGS.md")
	is.NoErr(err)
	messageCount := 0
	for _, dir := range []string{"cwgate", "cwpublished", "cwsync", "cwapp", "cwserver"} {
		files, err := filepath.Glob("../" + dir + "/*.go")
		is.NoErr(err)
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			is.NoErr(err)
			ast.Inspect(file, func(n ast.Node) bool {
				message, ok := loggedMessage(n)
				if ok {
					messageCount++
					if !strings.Contains(string(page), "`"+message+"`") {
						t.Errorf("%s logs %q, which docs/LOGS.md does not explain", path, message)
					}
				}
				return true
			})
		}
	}
	is.True(messageCount > 15) // the calls were found
}

// loggedMessage returns the message if n is a call such as x.Log.Info("message").
func loggedMessage(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Info" && method.Sel.Name != "Warn" && method.Sel.Name != "Error" {
		return "", false
	}
	receiver, ok := method.X.(*ast.SelectorExpr)
	if !ok || receiver.Sel.Name != "Log" {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	return message, err == nil
}

package mutex_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"apricotproxy/core/mutex"
)

// A panic with a lock taken ended one request, and left all later ones waiting for the lock.
func TestLockIsFreeAfterPanic(t *testing.T) {
	for name, panicWith := range map[string]func(l sync.Locker){
		"Do":  func(l sync.Locker) { mutex.Do(l, func() { panic("x") }) },
		"Get": func(l sync.Locker) { mutex.Get(l, func() int { panic("x") }) },
	} {
		var mu sync.Mutex
		func() {
			defer func() { _ = recover() }()
			panicWith(&mu)
		}()
		if !mu.TryLock() {
			t.Errorf("%s: the lock is still taken", name)
		}
	}
}

func TestGetReturnsWhatTheFunctionReturns(t *testing.T) {
	if got := mutex.Get(new(sync.Mutex), func() int { return 7 }); got != 7 {
		t.Errorf("got %d, want 7", got)
	}
}

// Each lock of the product is freed by a deferred call: a panic between Lock and Unlock left it taken.
func TestLocksAreFreedByDeferredCalls(t *testing.T) {
	root := filepath.Join("..", "..")
	files := 0
	for _, dir := range []string{"cmd", "core", "io", "platform"} {
		err := fs.WalkDir(os.DirFS(root), dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files++
			for _, position := range undeferredUnlocks(t, filepath.Join(root, path)) {
				t.Errorf("%s: a lock is freed by a call that is not deferred", position)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 100 {
		t.Errorf("%d files were read, want all of the product", files)
	}
}

// undeferredUnlocks returns where a file frees a lock in another way than by a deferred call.
func undeferredUnlocks(t *testing.T, path string) []token.Position {
	t.Helper()
	var files token.FileSet
	file, err := parser.ParseFile(&files, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	deferred := make(map[ast.Node]bool)
	var found []token.Position
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.DeferStmt:
			deferred[n.Call] = true
		case *ast.CallExpr:
			method, ok := n.Fun.(*ast.SelectorExpr)
			if ok && (method.Sel.Name == "Unlock" || method.Sel.Name == "RUnlock") && !deferred[n] {
				found = append(found, files.Position(n.Pos()))
			}
		}
		return true
	})
	return found
}

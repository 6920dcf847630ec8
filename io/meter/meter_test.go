package meter_test

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"

	"apricotproxy/io/meter"
)

func value(t *testing.T, name string) string {
	t.Helper()
	variable := expvar.Get("apricotproxy." + name)
	if variable == nil {
		t.Fatalf("no variable %s", name)
	}
	return variable.String()
}

func TestSameNameReturnsSameMetric(t *testing.T) {
	meter.Counter("test.one").Add(1)
	meter.Counter("test.one").Add(2)
	meter.Gauge("test.two").Set(5)
	meter.Gauge("test.two").Add(-1)
	meter.Histogram("test.three").Observe(7)
	for name, want := range map[string]string{"test.one": "3", "test.two": "4", "test.three.p99": "7"} {
		if got := value(t, name); got != want {
			t.Errorf("%s is %s, want %s", name, got, want)
		}
	}
}

func TestCallersAreCounted(t *testing.T) {
	statuses := []int{0, http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusBadGateway}
	for _, status := range statuses {
		handler := meter.Callers(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if got := value(t, "Callers.Open"); got != "1" {
				t.Errorf("%s open, want 1", got)
			}
			if status != 0 {
				w.WriteHeader(status)
			}
			if _, err := w.Write([]byte("x")); err != nil {
				t.Error(err)
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Errorf("an answer cannot be flushed: %v", err)
			}
		}))
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	}
	for name, want := range map[string]string{"Callers.Open": "0", "Callers.Answered": "2", "Callers.Refused": "3", "Callers.Unknown": "1"} {
		if got := value(t, name); got != want {
			t.Errorf("%s is %s, want %s", name, got, want)
		}
	}
}

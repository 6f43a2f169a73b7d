// Package fakes provides stand-ins for the services that the system depends on,
// for tests, measurements and the demo. [Platform], [Engine] and [Plain] serve HTTP:
// a POST to /fault?name=NAME&value=N sets one of their faults. [Store] is called
// within the process.
package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// Faults holds the fault values of one stand-in. A fault that was never set is 0,
// which means that it is off.
type Faults struct {
	mu     sync.Mutex
	values map[string]int64
	names  []string
}

// NewFaults returns faults with the given names, all 0.
func NewFaults(names ...string) *Faults {
	return &Faults{values: map[string]int64{}, names: names}
}

// Get returns the value of a fault.
func (f *Faults) Get(name string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[name]
}

// Consume decrements a fault that is above 0 and reports whether it did.
func (f *Faults) Consume(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.values[name] <= 0 {
		return false
	}
	f.values[name]--
	return true
}

// GetAndClear returns the value of a fault and sets it to 0.
func (f *Faults) GetAndClear(name string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	value := f.values[name]
	delete(f.values, name)
	return value
}

// Set sets the value of a fault. It fails for an unknown name.
func (f *Faults) Set(name string, value int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.names {
		if k == name {
			f.values[name] = value
			return nil
		}
	}
	return fmt.Errorf("fault %q: want one of %v", name, f.names)
}

// ServeHTTP sets the fault that the query names.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	value, err := strconv.ParseInt(r.FormValue("value"), 10, 64)
	if err == nil {
		err = f.Set(r.FormValue("name"), value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// abortResponse closes the connection of the current request without completing
// the response. It does not return.
func abortResponse() {
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

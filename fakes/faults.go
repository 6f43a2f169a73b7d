// Package fakes has stand-ins for the parties that the system talks to, for
// tests and the demo: the platform, a model engine, and a plain service. Each
// serves HTTP and has faults that are switched at /fault?name=NAME&value=N.
package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// Faults holds the switches of one stand-in. A switch that was never set is 0.
type Faults struct {
	mu     sync.Mutex
	values map[string]int64
	names  []string
}

// NewFaults returns switches with the given names, all 0.
func NewFaults(names ...string) *Faults {
	return &Faults{values: map[string]int64{}, names: names}
}

// Get returns the value of a switch.
func (f *Faults) Get(name string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[name]
}

// Consume decrements a switch above 0 and says whether it did.
func (f *Faults) Consume(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.values[name] <= 0 {
		return false
	}
	f.values[name]--
	return true
}

// GetAndClear returns the value of a switch and sets the switch to 0.
func (f *Faults) GetAndClear(name string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.values[name]
	delete(f.values, name)
	return v
}

// Set gives a switch a value. It fails for an unknown name.
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

// ServeHTTP sets the switch named in the query.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	value, err := strconv.ParseInt(r.FormValue("value"), 10, 64)
	if err == nil {
		err = f.Set(r.FormValue("name"), value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// abortResponse closes the connection of the running request without an answer.
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

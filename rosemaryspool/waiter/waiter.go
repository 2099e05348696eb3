// Package waiter waits for the goroutines of a part that is ending.
package waiter

import "github.com/sourcegraph/conc"

// Finished returns a channel that is closed once every goroutine of the group has ended. Until then the caller goes on
// taking from the channels into which they may send.
func Finished(group *conc.WaitGroup) <-chan struct{} {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		group.Wait()
	}()
	return finished
}

// Package coordinator implements the state machine of the coordinator, the one host
// that places the tasks of all jobs and sends orders to the workers.
//
// State.Apply processes one event and returns its effects as data, which the calling
// driver carries out. Apply reads no clock and starts no goroutine. Decisions are
// recorded before they take effect: a placement is written to the store before its
// start orders are sent, and the end of a run is recorded before it is acknowledged to
// the worker. The store therefore names every run that may exist when another
// coordinator takes over. The new coordinator fences the workers with its higher term,
// polls each for its runs, and reconciles them with the records.
//
// A run is considered over once one of these holds:
//   - its worker has reported its end;
//   - its worker has executed the start or stop order, but does not include the run in
//     a list requested later;
//   - another member of its gang has succeeded, which completes the gang;
//   - a worker of another ID answers at its worker's address;
//   - its worker's lease has certainly expired.
//
// A worker's directory entry ends no run, neither by its absence nor by what it says: it
// may be late, it expires while the worker goes on, and it may come from another writer. A
// worker that has restarted under its ID may execute orders meant for its last lifetime;
// the list of runs that it then answers with shows what became of them.
package coordinator

"""Simulated histories of a small fleet in virtual time, with injected faults.

Entries and agents are the real processes, each with an event loop of its own that is run turn by
turn; clocks, connections, workers, the store and callers are modelled. Processes can be paused
independently, and the same seed gives the same history. ``python -m tests.histories --seeds 1000``
searches for histories that violate a guarantee.

| module | contents |
|---|---|
| base | histories, faults and outcomes |
| clock, network | virtual time, event loops, connections that faults delay, silence or reset |
| worker, backends | model of the platform: workers, the store, the ingress for callers |
| fleet | the fleet; ``ModelFleet.patch`` replaces parts of the product by the model |
| draw | histories drawn from seeds, and shrinking of failing ones |
| test_orders | specific orders of events, each played with several packet delays |
| test_cut_entries | network cuts between entries |
| test_crashing_tasks | tasks that crash each worker they run on |
| test_reborn_workers, test_news | workers that restart under the same id or change their capacity |
| test_suspended_hosts | hosts whose monotonic clock does not count a suspension |

Guarantees that are checked:

- when a run starts, no other run of its task is active on any worker;
- no task starts under a submission that was answered as refused;
- each task of a job that was answered as done has completed at least once;
- a task is started less than three times more after three workers have ended while running it;
- a job fails only after two workers have ended while running one of its tasks;
- no run starts beyond a worker's capacity, apart from a grace period after the capacity shrank;
- no task is preempted twice under the first submission of its job.

Not modelled: processor time (a turn takes none), loss of packets between a process and its worker
other than with their whole call, stops that a worker refuses, data centres, faults of the store.
"""

-- The core protocol of one shard for one task of one team, over two entries and two workers.
--
-- Names are those of the code: WorkerPool (leases, epochs), ShardController (taking over, active),
-- RecordWriter (record epoch), EscrowManager (slices), ConfigurationManager (freshness evidence),
-- ClaimRegistry. For each guard marked GUARD n, Meta/check.sh removes it in a variant of the model and
-- expects that the variant breaks an invariant.

const
  EntryCount: 2;
  WorkerCount: 2;
  MaxEpoch: 3;
  MaxStarts: 2;

type
  Entry: scalarset(EntryCount);
  Worker: scalarset(WorkerCount);
  Epoch: 0..MaxEpoch;

  KeeperState: enum { Idle, TakingOver, Active };

  Keeper: record
    state: KeeperState;
    epoch: Epoch;
    -- Workers whose lease this shard controller believes to hold, and those whose report it has.
    holds: array[Worker] of boolean;
    resolved: array[Worker] of boolean;
    -- The controller's own view of the task: true for a worker that got a start command or that
    -- reported the task as running.
    ordered: array[Worker] of boolean;
    knowsDone: boolean;
    -- True while there is freshness evidence: the configuration is known to be current.
    fresh: boolean;
    seesZoneOut: boolean;
  end;

  WorkerState: record
    -- Highest epoch granted; the lease of its holder may have ended.
    epoch: Epoch;
    leaseAlive: boolean;
    running: boolean;
    -- The task completed successfully, and the worker has not forgotten the end yet; it does so once
    -- the store has recorded the end.
    ended: boolean;
  end;

var
  keepers: array[Entry] of Keeper;
  workers: array[Worker] of WorkerState;

  -- The store: owner key, record of the shard, configuration.
  ownerEpoch: Epoch;
  ownerKeyHeld: boolean;
  owner: Entry;
  recordEpoch: Epoch;
  recordDone: boolean;
  everRecorded: boolean;
  zoneOut: boolean;
  -- Set once all freshness evidence from before the change has expired at every instance.
  zoneOutInForce: boolean;

  -- Start commands in flight; they may arrive late, whatever their sender has done since.
  order: array[Worker] of array[Epoch] of boolean;
  starts: 0..MaxStarts;
  startedAfterOut: boolean;
  endedEver: boolean;
  ranAgainAfterDone: boolean;

procedure StopKeeping(e: Entry);
begin
  keepers[e].state := Idle;
  keepers[e].epoch := 0;
  keepers[e].knowsDone := false;
  for w: Worker do
    keepers[e].holds[w] := false;
    keepers[e].resolved[w] := false;
    keepers[e].ordered[w] := false;
  end;
end;

startstate
begin
  for e: Entry do
    StopKeeping(e);
    keepers[e].fresh := true;
    keepers[e].seesZoneOut := false;
  end;
  for w: Worker do
    workers[w].epoch := 0;
    workers[w].leaseAlive := false;
    workers[w].running := false;
    workers[w].ended := false;
    for n: Epoch do order[w][n] := false; end;
  end;
  ownerEpoch := 0;
  ownerKeyHeld := false;
  undefine owner;
  recordEpoch := 0;
  recordDone := false;
  everRecorded := false;
  zoneOut := false;
  zoneOutInForce := false;
  starts := 0;
  startedAfterOut := false;
  endedEver := false;
  ranAgainAfterDone := false;
end;

-- The owner key only limits which entries try to own the shard. It expires with its store
-- lease, at any time.
rule "owner key lapses"
  ownerKeyHeld
==>
begin
  ownerKeyHeld := false;
  undefine owner;
end;

ruleset e: Entry do
  -- ShardOwnership::acquire, then RecordWriter::takeOver fences the record.
  rule "acquire"
    !ownerKeyHeld & ownerEpoch < MaxEpoch & keepers[e].state = Idle
  ==>
  begin
    ownerEpoch := ownerEpoch + 1;
    ownerKeyHeld := true;
    owner := e;
    keepers[e].state := TakingOver;
    keepers[e].epoch := ownerEpoch;
  end;

  rule "take over the record"
    keepers[e].state = TakingOver & recordEpoch < keepers[e].epoch
  ==>
  begin
    recordEpoch := keepers[e].epoch;
    keepers[e].knowsDone := recordDone;
  end;

  -- ShardController::becomeActiveIfResolved
  rule "become active"
    keepers[e].state = TakingOver & recordEpoch = keepers[e].epoch
    & (forall w: Worker do keepers[e].resolved[w] end) -- GUARD 1: every worker's report has arrived
  ==>
  begin
    keepers[e].state := Active;
  end;

  -- RecordWriter::handleOwnershipLoss: the record has a higher epoch.
  rule "find the shard lost"
    keepers[e].state != Idle & recordEpoch > keepers[e].epoch
  ==>
  begin
    StopKeeping(e);
  end;

  rule "die"
    keepers[e].state != Idle
  ==>
  begin
    StopKeeping(e);
  end;

  -- RecordWriter::handleWritten: the write succeeds under the owner's epoch.
  rule "write the record"
    keepers[e].state = Active
    & recordEpoch = keepers[e].epoch -- GUARD 2: the record's epoch fences off a former owner
  ==>
  begin
    recordDone := keepers[e].knowsDone;
    if recordDone then everRecorded := true; end;
  end;

  rule "evidence runs out"
    keepers[e].fresh
  ==>
  begin
    keepers[e].fresh := false;
  end;

  rule "evidence comes"
    true
  ==>
  begin
    keepers[e].fresh := true;
    keepers[e].seesZoneOut := zoneOut;
  end;
end;

ruleset e: Entry; w: Worker do
  -- WorkerPool::renew: the worker grants a lease of a higher epoch once the former lease is over.
  rule "lease is granted"
    keepers[e].state != Idle & recordEpoch >= keepers[e].epoch
    & (workers[w].epoch < keepers[e].epoch)
    -- Safety depends on the epoch alone; the lease only keeps owners from displacing each other.
    & !workers[w].leaseAlive
  ==>
  begin
    workers[w].epoch := keepers[e].epoch;
    workers[w].leaseAlive := true;
    keepers[e].holds[w] := true;
    keepers[e].resolved[w] := true;
    keepers[e].ordered[w] := workers[w].running;
    if workers[w].ended then keepers[e].knowsDone := true; end;
  end;

  rule "renewal reports"
    keepers[e].holds[w] & workers[w].leaseAlive & workers[w].epoch = keepers[e].epoch
  ==>
  begin
    if workers[w].ended then
      keepers[e].knowsDone := true;
      keepers[e].ordered[w] := false;
    end;
  end;

  -- The owner is paused or unresponsive: the lease expires by the worker's clock.
  rule "lease lapses"
    workers[w].leaseAlive
  ==>
  begin
    workers[w].leaseAlive := false;
  end;

  -- ShardController::schedule and applyDecision
  rule "order a start"
    keepers[e].state = Active & keepers[e].holds[w] & starts < MaxStarts
    & !keepers[e].knowsDone
    & (forall v: Worker do !keepers[e].ordered[v] end) -- GUARD 3: no other attempt is active
    & keepers[e].fresh & !keepers[e].seesZoneOut -- GUARD 4: fresh evidence, zone in service
  ==>
  begin
    keepers[e].ordered[w] := true;
    order[w][keepers[e].epoch] := true;
    starts := starts + 1;
  end;

  -- WorkerPool::acknowledge after the end is recorded
  rule "acknowledge the end"
    keepers[e].holds[w] & workers[w].ended
    & recordDone -- GUARD 5: the worker forgets an end only after the store has recorded it
  ==>
  begin
    workers[w].ended := false;
  end;
end;

ruleset w: Worker; n: Epoch do
  rule "start arrives"
    order[w][n]
  ==>
  begin
    order[w][n] := false;
    if workers[w].epoch = n -- GUARD 6: the worker refuses a late command of a former holder
       & workers[w].leaseAlive then
      if endedEver then ranAgainAfterDone := true; end;
      if zoneOutInForce then startedAfterOut := true; end;
      workers[w].running := true;
    end;
  end;

  rule "start is lost"
    order[w][n]
  ==>
  begin
    order[w][n] := false;
  end;
end;

ruleset w: Worker do
  rule "task ends well"
    workers[w].running
  ==>
  begin
    workers[w].running := false;
    workers[w].ended := true;
    endedEver := true;
  end;
end;

rule "operators take the zone out"
  !zoneOut
==>
begin
  zoneOut := true;
end;

-- A few seconds after the change, all older freshness evidence has expired and all commands sent
-- under it have arrived.
rule "zone out is in force"
  zoneOut & !zoneOutInForce
  & (forall e: Entry do !keepers[e].fresh | keepers[e].seesZoneOut end)
  & (forall w: Worker do forall n: Epoch do !order[w][n] end end)
==>
begin
  zoneOutInForce := true;
end;

invariant "no task runs in two places"
  forall v: Worker do forall w: Worker do
    v != w -> !(workers[v].running & workers[w].running)
  end end;

invariant "a task that ended well is never run again"
  !ranAgainAfterDone;

invariant "a recorded end stays recorded"
  everRecorded -> recordDone;

invariant "an end is known or kept"
  forall v: Worker do forall w: Worker do
    v != w -> !(workers[v].ended & workers[w].running)
  end end;

invariant "no start in a zone that is out"
  !startedAfterOut;

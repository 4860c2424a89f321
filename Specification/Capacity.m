-- The shard controller's view of one worker that can run one task at a time: WorkerPool with start
-- commands whose outcome is unknown. Two tasks compete; start commands arrive late or not at all,
-- and responses are lost.

const
  MaxEpoch: 4;

type
  Task: scalarset(2);
  Epoch: 0..MaxEpoch;

var
  -- The worker
  workerEpoch: Epoch;
  running: array[Task] of boolean;
  -- Start commands in flight, by epoch
  order: array[Task] of array[Epoch] of boolean;
  -- The shard controller
  grantedEpoch: Epoch;
  needsComplete: boolean;
  reserved: array[Task] of boolean;
  orderedUnder: array[Task] of Epoch;

startstate
begin
  workerEpoch := 1;
  grantedEpoch := 1;
  needsComplete := false;
  for t: Task do
    running[t] := false;
    reserved[t] := false;
    orderedUnder[t] := 0;
    for n: Epoch do order[t][n] := false; end;
  end;
end;

ruleset t: Task do
  rule "order a start"
    !needsComplete & !reserved[t]
    & (forall u: Task do !reserved[u] end) -- GUARD 1: sent start commands reserve capacity
  ==>
  begin
    reserved[t] := true;
    orderedUnder[t] := grantedEpoch;
    order[t][grantedEpoch] := true;
  end;

  rule "answer is lost"
    reserved[t]
  ==>
  begin
    needsComplete := true;
  end;

  rule "task ends and is reported"
    running[t]
  ==>
  begin
    running[t] := false;
    reserved[t] := false;
  end;
end;

ruleset t: Task; n: Epoch do
  rule "start arrives"
    order[t][n]
  ==>
  begin
    order[t][n] := false;
    if workerEpoch = n then -- GUARD 2: a command of a lower epoch is refused
      running[t] := true;
    end;
  end;
end;

-- WorkerPool::renew with a raised epoch, then endUnreported
rule "complete report under a raised epoch"
  needsComplete & workerEpoch < MaxEpoch
==>
begin
  workerEpoch := workerEpoch + 1; -- GUARD 3: the epoch is raised before a report is trusted
  grantedEpoch := workerEpoch;
  needsComplete := false;
  for t: Task do
    if reserved[t] & !running[t] then reserved[t] := false; end;
    if running[t] then reserved[t] := true; end; -- GUARD 4: tasks in the report reserve capacity
  end;
end;

rule "owner is replaced"
  workerEpoch < MaxEpoch
==>
begin
  needsComplete := true;
  for t: Task do reserved[t] := false; end;
end;

invariant "no instance is overcommitted"
  forall t: Task do forall u: Task do t != u -> !(running[t] & running[u]) end end;

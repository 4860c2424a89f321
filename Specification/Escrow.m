-- Slices of a team's upper limit: EscrowManager of two shards that share one record in the store.
-- Writes may be lost or arrive late; a successor may replace a shard's owner at any time.

const
  Limit: 2;
  MaxRevision: 5;

type
  Shard: scalarset(2);
  Units: 0..Limit;
  Revision: 0..MaxRevision;

  Write: record
    underWay: boolean;
    expected: Revision;
    mine: Units;
    -- False if the writer no longer waits for the response, or was replaced.
    awaited: boolean;
  end;

var
  -- The record
  revision: Revision;
  slices: array[Shard] of Units;
  -- Running tasks of each shard, under any owner
  used: array[Shard] of Units;
  -- The state of each shard's owner
  usable: array[Shard] of Units;
  isRead: array[Shard] of boolean;
  readRevision: array[Shard] of Revision;
  readSlices: array[Shard] of array[Shard] of Units;
  writes: array[Shard] of Write;

startstate
begin
  revision := 0;
  for s: Shard do
    slices[s] := 0;
    used[s] := 0;
    usable[s] := 0;
    isRead[s] := false;
    readRevision[s] := 0;
    for t: Shard do readSlices[s][t] := 0; end;
    writes[s].underWay := false;
    writes[s].expected := 0;
    writes[s].mine := 0;
    writes[s].awaited := false;
  end;
end;

ruleset s: Shard do
  rule "read the record"
    !isRead[s] & !(writes[s].underWay & writes[s].awaited)
  ==>
  var before: Units;
  begin
    isRead[s] := true;
    readRevision[s] := revision;
    for t: Shard do readSlices[s][t] := slices[t]; end;
    before := usable[s];
    usable[s] := slices[s];
    if before < slices[s] then usable[s] := before; end; -- GUARD 2: only a write raises usable
  end;

  rule "start a task"
    used[s] < Limit
    & used[s] < usable[s] -- GUARD 1: starts spend only usable units
  ==>
  begin
    used[s] := used[s] + 1;
  end;

  rule "task ends"
    used[s] > 0
  ==>
  begin
    used[s] := used[s] - 1;
  end;

  rule "owner is replaced"
    true
  ==>
  begin
    usable[s] := 0;
    isRead[s] := false;
    writes[s].awaited := false;
  end;

  rule "answer is given up"
    writes[s].underWay & writes[s].awaited
  ==>
  begin
    writes[s].awaited := false;
    isRead[s] := false;
  end;
end;

ruleset s: Shard; mine: Units do
  rule "write a slice"
    isRead[s] & !writes[s].underWay & mine >= used[s]
    & (forall t: Shard do t != s -> mine + readSlices[s][t] <= Limit end) -- GUARD 3: within the limit
  ==>
  begin
    if usable[s] > mine then usable[s] := mine; end; -- GUARD 4: released before it is written
    writes[s].underWay := true;
    writes[s].awaited := true;
    writes[s].expected := readRevision[s];
    writes[s].mine := mine;
  end;
end;

ruleset s: Shard do
  rule "write arrives"
    writes[s].underWay & revision < MaxRevision
  ==>
  begin
    if writes[s].expected = revision then -- GUARD 5: compare and swap
      revision := revision + 1;
      slices[s] := writes[s].mine;
      if writes[s].awaited then
        usable[s] := writes[s].mine;
        readRevision[s] := revision;
        readSlices[s][s] := writes[s].mine;
      end;
    else
      if writes[s].awaited then isRead[s] := false; end;
    end;
    writes[s].underWay := false;
    writes[s].awaited := false;
  end;
end;

invariant "no team runs more than its limit"
  forall s: Shard do forall t: Shard do s != t -> used[s] + used[t] <= Limit end end;

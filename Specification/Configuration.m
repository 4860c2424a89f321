-- Freshness evidence and vouches: ConfigurationManager and VouchRegistry of three members, one of
-- which joins late. A vouch is a member's promise to make no change for a fixed time, so that others
-- may treat the configuration as current. The store may respond to a member at any moment or not; no
-- guard depends on it.

const
  MaxRevision: 1;

type
  Member: scalarset(3);
  Revision: 0..MaxRevision;

var
  accepted: Revision;
  -- True once all freshness evidence from before the latest change must have expired.
  inForce: boolean;

  known: array[Member] of Revision;
  evidence: array[Member] of boolean;

  registered: array[Member] of boolean;
  -- needs[m][p]: m requires p's vouch; p learns this when m acknowledges it.
  needs: array[Member] of array[Member] of boolean;
  -- vouch[m][p]: m holds a vouch of p that has not expired; p's promise lasts at least as long.
  vouch: array[Member] of array[Member] of boolean;

function Vouched(m: Member): boolean;
begin
  for p: Member do
    if p != m & needs[m][p] & !vouch[m][p] then return false; end;
  end;
  return true;
end;

startstate
begin
  accepted := 0;
  inForce := true;
  for m: Member do
    known[m] := 0;
    evidence[m] := false;
    registered[m] := false;
    for p: Member do
      needs[m][p] := false;
      vouch[m][p] := false;
    end;
  end;
end;

ruleset m: Member do
  rule "register"
    !registered[m]
  ==>
  begin
    registered[m] := true;
  end;

  rule "read the register"
    registered[m]
  ==>
  begin
    for p: Member do
      if registered[p] then needs[m][p] := true; end;
    end;
  end;

  rule "read the configuration"
    registered[m]
  ==>
  begin
    known[m] := accepted;
    evidence[m] := true;
  end;

  rule "evidence runs out"
    evidence[m]
  ==>
  begin
    evidence[m] := false;
  end;

  rule "change the configuration"
    registered[m] & accepted < MaxRevision
    & (forall p: Member do !vouch[p][m] end) -- GUARD 1: no vouch of this member is valid
    & (forall p: Member do (registered[p] & p != m) -> needs[p][m] end) -- GUARD 2: all require its vouch
  ==>
  begin
    accepted := accepted + 1;
    known[m] := accepted;
    inForce := false;
  end;
end;

ruleset m: Member; p: Member do
  rule "be acknowledged"
    m != p & registered[m] & registered[p]
  ==>
  begin
    needs[p][m] := true;
  end;

  rule "get a vouch"
    m != p & registered[m] & registered[p]
  ==>
  begin
    if known[p] > known[m] then -- GUARD 3: a vouch delivers the voucher's configuration
      known[m] := known[p];
    end;
    vouch[m][p] := true;
  end;

  rule "vouch runs out"
    vouch[m][p]
  ==>
  begin
    vouch[m][p] := false;
  end;

  rule "late configuration arrives"
    m != p
  ==>
  begin
    if known[p] > known[m] then -- GUARD 4: only a higher revision replaces a lower one
      known[m] := known[p];
    end;
  end;
end;

rule "change is in force"
  !inForce & (forall m: Member do !evidence[m] | known[m] = accepted end)
==>
begin
  inForce := true;
end;

-- A member acts while it has freshness evidence, or has all required vouches and has read a
-- register that lists the member itself.
invariant "nobody acts on an old configuration once the new one is in force"
  inForce -> forall m: Member do
    (evidence[m] | (needs[m][m] & Vouched(m))) -> known[m] = accepted
  end;

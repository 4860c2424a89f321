-- One request that must not run twice, sent through two entries with the same idempotency key:
-- ClaimRegistry and LookupRouter. Claims, sends and their responses may be lost or late.

type
  Entry: scalarset(2);
  Step: enum { New, Claiming, InDoubt, Claimed, Sent, SaidNotRun, SaidUnknown, SaidAnswer };

var
  step: array[Entry] of Step;
  claimUnderWay: array[Entry] of boolean;
  sendUnderWay: array[Entry] of boolean;
  claimTaken: boolean;
  claimer: Entry;
  runs: 0..3;
  ranFor: array[Entry] of boolean;

startstate
begin
  for e: Entry do
    step[e] := New;
    claimUnderWay[e] := false;
    sendUnderWay[e] := false;
    ranFor[e] := false;
  end;
  claimTaken := false;
  undefine claimer;
  runs := 0;
end;

ruleset e: Entry do
  rule "ask for the claim"
    step[e] = New
  ==>
  begin
    step[e] := Claiming;
    claimUnderWay[e] := true;
  end;

  rule "claim arrives and is answered"
    claimUnderWay[e] & step[e] = Claiming
  ==>
  begin
    claimUnderWay[e] := false;
    if !claimTaken then -- GUARD 1: the key is created only if it does not exist
      claimTaken := true;
      claimer := e;
      step[e] := Claimed;
    else
      step[e] := SaidUnknown;
    end;
  end;

  rule "claim answer is lost"
    step[e] = Claiming
  ==>
  begin
    step[e] := InDoubt;
  end;

  rule "claim arrives unseen"
    claimUnderWay[e] & step[e] != Claiming
  ==>
  begin
    claimUnderWay[e] := false;
    if !claimTaken then
      claimTaken := true;
      claimer := e;
    end;
  end;

  rule "read settles the doubt"
    step[e] = InDoubt
  ==>
  begin
    if claimTaken
       & claimer = e -- GUARD 2: the claim has this attempt's nonce
    then
      step[e] := Claimed;
    else
      -- This attempt sends nothing, even if its claim arrives later.
      step[e] := SaidNotRun;
    end;
  end;

  rule "send to the target"
    step[e] = Claimed
  ==>
  begin
    step[e] := Sent;
    sendUnderWay[e] := true;
  end;

  rule "request runs"
    sendUnderWay[e] & runs < 3
  ==>
  begin
    sendUnderWay[e] := false;
    runs := runs + 1;
    ranFor[e] := true;
  end;

  rule "answer comes"
    step[e] = Sent & ranFor[e]
  ==>
  begin
    step[e] := SaidAnswer;
  end;

  rule "answer is given up"
    step[e] = Sent
  ==>
  begin
    step[e] := SaidNotRun;
    step[e] := SaidUnknown; -- GUARD 3: a sent request is never reported as not run
  end;

  rule "target refuses unread"
    step[e] = Sent & sendUnderWay[e]
  ==>
  begin
    sendUnderWay[e] := false;
    step[e] := SaidNotRun;
  end;
end;

invariant "a request runs at most once"
  runs <= 1;

invariant "what is called not run has not run and never will"
  forall e: Entry do step[e] = SaidNotRun -> !ranFor[e] & !sendUnderWay[e] end;

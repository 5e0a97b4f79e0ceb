-- Leases on versions (docs/design/members.md), for three members that all have a vote. Time is counted in
-- ticks; between two ticks anything may happen any number of times. Checked by rumur: model/run.
--
-- What is kept: no two members act on different versions for more than LEASE ticks in a row, however many
-- versions follow each other; nobody acts on a version that is not agreed.

const
  LEASE: 2;
  VERSIONS: 1;
  -- Planted bugs: 1 switches them on (model/run does).
  GRANTS_ALWAYS: 0;
  NEVER_WAITS: 0;
  FROM_ANSWER: 0;

type
  Member: scalarset(3);
  Version: 0..VERSIONS;
  Left: 0..LEASE;

var
  stored: array[Member] of Version;    -- in the voter's journal; outlasts its kills
  agreed: Version;
  since: 0..LEASE + 1;                 -- ticks since it was agreed
  proposed: boolean;                   -- the version after it may be stored
  acting: array[Member] of Version;
  lease: array[Member] of Left;        -- on the version that is acted on
  asked: array[Member] of boolean;
  ask_version: array[Member] of Version;
  ask_left: array[Member] of Left;     -- of a lease that runs from the ask
  yes: array[Member] of array[Member] of boolean;
  contradiction: 0..LEASE + 1;         -- ticks in a row

function both(m: Member; n: Member): boolean;
begin
  return lease[m] > 0 & lease[n] > 0 & acting[m] != acting[n];
end;

function settled(): boolean;
begin
  if NEVER_WAITS = 1 then return true; end;
  return since > LEASE | forall m: Member do acting[m] = agreed end;
end;

procedure forget(m: Member);
begin
  asked[m] := false;
  ask_version[m] := 0;
  ask_left[m] := 0;
  for v: Member do yes[m][v] := false; end;
end;

-- At an instant without a contradiction its time begins anew.
procedure look();
begin
  if !(exists m: Member do exists n: Member do both(m, n) end end) then contradiction := 0; end;
end;

startstate begin
  agreed := 0;
  since := LEASE + 1;
  proposed := false;
  contradiction := 0;
  for m: Member do
    stored[m] := 0;
    acting[m] := 0;
    lease[m] := 0;
    forget(m);
  end;
end;

rule "publish" !proposed & agreed < VERSIONS & settled() ==>
begin proposed := true; end;

ruleset v: Member do
  rule "a voter stores the next version" proposed & stored[v] <= agreed ==>
  var count: 0..3;
  begin
    stored[v] := agreed + 1;
    count := 0;
    for w: Member do if stored[w] = agreed + 1 then count := count + 1; end; end;
    if count = 2 then
      agreed := agreed + 1;
      since := 0;
      proposed := false;
    end;
  end;
  -- One that was away has the rest from the leader.
  rule "a voter catches up" stored[v] < agreed ==>
  begin stored[v] := agreed; end;
end;

ruleset m: Member; w: Version do
  rule "ask" !asked[m] & w >= acting[m] & w <= agreed ==>
  begin
    asked[m] := true;
    ask_version[m] := w;
    ask_left[m] := LEASE;
  end;
end;

ruleset m: Member; v: Member do
  rule "grant" asked[m] & !yes[m][v] & (stored[v] <= ask_version[m] | GRANTS_ALWAYS = 1) ==>
  begin yes[m][v] := true; end;
end;

ruleset m: Member do
  rule "a majority has said yes" asked[m] ==>
  var count: 0..3;
  begin
    count := 0;
    for v: Member do if yes[m][v] then count := count + 1; end; end;
    if count >= 2 then
      if ask_version[m] > acting[m] then
        acting[m] := ask_version[m];
        lease[m] := 0;
      end;
      if FROM_ANSWER = 1 then
        lease[m] := LEASE;
      elsif ask_left[m] > lease[m] then
        lease[m] := ask_left[m];
      end;
      forget(m);
      look();
    end;
  end;
  rule "the ask or its answers are lost" asked[m] ==>
  begin forget(m); end;
  rule "killed and started again" true ==>
  begin
    acting[m] := 0;
    lease[m] := 0;
    forget(m);
    look();
  end;
end;

rule "tick" true ==>
begin
  if exists m: Member do exists n: Member do both(m, n) end end then
    if contradiction <= LEASE then contradiction := contradiction + 1; end;
  else
    contradiction := 0;
  end;
  for m: Member do
    if lease[m] > 0 then lease[m] := lease[m] - 1; end;
    if ask_left[m] > 0 then ask_left[m] := ask_left[m] - 1; end;
  end;
  if since <= LEASE then since := since + 1; end;
end;

invariant "the stated time" contradiction <= LEASE;
invariant "only what is agreed" forall m: Member do lease[m] > 0 -> acting[m] <= agreed end;

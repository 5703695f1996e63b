@0xbf5147c5e1f3a9d2;
# Protocol between egretshelf processes. Every connection starts at Gate.

struct TaskId {
  team @0 :Text;
  key @1 :Text;
  index @2 :UInt32;
}

struct Task {
  id @0 :TaskId;
  service @1 :Text;
  operation @2 :Text;
  issuedMs @3 :UInt64;   # unix time, 0 when the caller gave none
  leftMs @4 :UInt32;     # time left to the deadline
  keyed @5 :Bool;        # needs a claim at the home
  repeatable @6 :Bool;
  sizeMs @7 :UInt32;     # declared run time, 0 when none
  digestHigh @8 :UInt64; # digest of operation and body
  digestLow @9 :UInt64;
  startedMs @10 :UInt64; # when the entry took the call, unix time
  body @11 :Data;
  count @12 :UInt32;     # tasks of the submission
}

enum Outcome {
  done @0;
  failed @1;
  notRun @2;
  unknown @3;
}

struct Answer {
  outcome @0 :Outcome;
  body @1 :Data;
  reason @2 :Text;
  retryMs @3 :UInt32;    # when to come back, for notRun
  ranUs @4 :UInt64;      # run time on the backend server
  agent @5 :Text;        # who ran it
}

struct Load {
  queued @0 :UInt32;
  running @1 :UInt32;
  slots @2 :UInt32;
  backlogUs @3 :UInt64;  # run time waiting and left, over all slots
  meanUs @4 :UInt64;     # mean observed run time
  ready @5 :Bool;        # takes new work
  short @6 :Room;
  long @7 :Room;
  failing @8 :Float64;   # share of the newest runs that failed
}

# Room for one class of work.
struct Room {
  free @0 :UInt32;       # slots it could take now
  waitUs @1 :UInt64;     # expected wait of one more task
  meanUs @2 :UInt64;     # mean observed run time
}

struct Reply {
  load @0 :Load;
  union {
    answer @1 :Answer;
    held @2 :Text;       # another agent holds the claim
    conflict @3 :Void;   # the key was used with another body
    declined @4 :Answer; # did nothing, but someone else may hold the claim
  }
  incarnation @5 :UInt64; # of the agent that holds the claim
}

struct AgentInfo {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;      # its rpc address
  centre @3 :Text;
  rack @4 :Text;
  service @5 :Text;
  load @6 :Load;
  version @7 :UInt64;    # fleet configuration in force
  epoch @8 :UInt64;      # roster in force
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  centre @3 :Text;
  rack @4 :Text;
}

struct Claim {
  id @0 :TaskId;
  digestHigh @1 :UInt64;
  digestLow @2 :UInt64;
  issuedMs @3 :UInt64;
  ask @4 :UInt64;        # the executor's number of this claim, rising
  startedMs @5 :UInt64;  # when the entry took the call, unix time
  count @6 :UInt32;      # tasks of the submission
}

struct Grant {
  union {
    granted @0 :Void;
    held @1 :Text;       # name of the agent that holds the claim
    barred @2 :Void;     # nobody holds it, and no call begun so far will
    conflict @3 :Void;
    notHome @4 :UInt64;  # the epoch known here
    unknown @5 :Text;    # whether it ran before can't be told; why
    full @6 :Void;       # no room for another claim
    free @8 :Void;       # nobody holds it; the answer to a look
  }
  incarnation @7 :UInt64; # of the agent that holds the claim
  count @9 :UInt32;      # tasks of the submission, 0 when not known
}

enum Stage {
  unseen @0;
  queued @1;
  running @2;
  over @3;
}

struct Record {
  claim @0 :Claim;
  executor @1 :Text;
  incarnation @2 :UInt64;
  epoch @3 :UInt64;      # not used
  barredMs @4 :UInt64;   # calls begun before may not start it; 0 when held
}

struct Beat {
  from @0 :Text;
  incarnation @1 :UInt64;
  to @2 :UInt64;         # incarnation of the receiver that is meant
  epoch @3 :UInt32;      # roster that the sender promised
  change @4 :UInt32;     # write of the roster's row that the sender knows
  ready @5 :UInt32;      # newest epoch whose records the sender holds
  stamp @6 :UInt64;      # when it was sent, on the sender's own clock
  echo @7 :UInt64;       # newest stamp heard from the receiver
  roster @8 :Text;       # the document, for a receiver that is behind
}

interface Gate {
  open @0 (token :Data, protocol :UInt16) -> (agent :Agent, entry :Entry);
}

interface Entry {
  # An agent announces itself, and learns of entries and configuration.
  # Whoever has the newer document sends it; the agent only once it knows that the entry is behind.
  # seen is the highest version the agent was sent; it may not be able to read it.
  greet @0 (info :AgentInfo, document :Text, seen :UInt64) -> (entries :List(Text), version :UInt64, document :Text);
  # An agent of a backend server with leases opens or extends a session; worker is set in the first call of a link.
  join @1 (hello :Hello, worker :Worker) -> (welcome :Welcome);
  # From another entry: where the caller is, and which entries and configuration both know.
  meet @2 (address :Text, known :Welcome) -> (welcome :Welcome);
}

interface Agent {
  # From an entry: run a task here, and wait for its answer.
  run @0 (task :Task) -> (reply :Reply);
  # From an entry: wait for the answer of a task that is held here.
  attach @1 (id :TaskId, leftMs :UInt32, incarnation :UInt64) -> (reply :Reply);
  # What is known here of a task.
  status @2 (id :TaskId) -> (stage :Stage, reply :Reply);
  # Stop a task that has not started.
  cancel @3 (ids :List(TaskId)) -> (stopped :List(Bool));
  # From an executor to the home: ask for claims.
  claim @4 (epoch :UInt64, executor :Member, claims :List(Claim)) -> (grants :List(Grant));
  # From an executor to the home: these never started, give the claims up.
  release @5 (epoch :UInt64, executor :Member, claims :List(Claim), bars :List(Bool)) -> ();
  # From an entry to the home: learn who holds the claim, and bar the calls
  # begun so far if nobody does, unless it only looks.
  bar @6 (epoch :UInt64, claim :Claim, look :Bool) -> (grant :Grant);
  # Between members of a roster.
  beat @7 (beat :Beat) -> (ack :Beat);
  # Promise an epoch, and hand over the records whose home the caller becomes,
  # page by page.
  collect @8 (epoch :UInt64, home :Member, roster :Text, page :UInt32) -> (records :List(Record), more :Bool);
  # From an operator through an entry.
  drain @9 (on :Bool) -> (load :Load);
  # From an entry that is behind: the roster of a service as it is known here.
  roster @10 () -> (document :Text);
}

# Tasks with a size, which run under leases.

struct Size {
  cpu @0 :UInt32;        # thousandths of a core
  memory @1 :UInt32;     # MB
  gpu @2 :UInt32;
}

# What an agent has for leased tasks.
struct Space {
  ready @0 :Bool;        # takes new work
  capacity @1 :Size;
  free @2 :Size;
  waitUs @3 :UInt64;     # expected wait of a task that is queued last
  slowness @4 :Float32;  # run time over estimate
  suspect @5 :Bool;      # its backend server fails or stalls what it starts
  classWaitsUs @6 :List(UInt64); # expected wait of a task of each class; empty: waitUs for all
}

# A data centre in which nothing may be started.
struct DrainedCentre {
  name @0 :Text;
  version @1 :UInt64;    # of the operator's row in the store
  sinceMs @2 :UInt64;    # when an entry first saw it, unix time
}

# The drained data centres as of a version of the store; 0 when not known.
struct Drains {
  asOf @0 :UInt64;
  centres @1 :List(DrainedCentre);
}

struct Hello {
  name @0 :Text;
  incarnation @1 :UInt64;
  centre @2 :Text;
  service @3 :Text;
  labels @4 :List(Text); # kind and rack of the backend server
  space @5 :Space;
  version @6 :UInt64;    # fleet configuration in force
  seen @7 :UInt64;       # highest version it was sent
  document @8 :Text;     # the configuration, for an entry that is behind
  sentUs @9 :UInt64;     # when it was sent, on the agent's clock
  firm @10 :Bool;        # the entry is one of the few that the agent counts on
  digest @11 :UInt64;    # of the entries that it was sent; 0 for none
  drains @12 :Drains;
  crash @13 :UInt64;     # number of a recent crash of the backend server; 0 for none
  chances @14 :List(Chance);
}

# How likely a task of a queue started as near to the crash by coincidence.
struct Chance {
  queue @0 :Text;
  probability @1 :Float32;
}

struct Welcome {
  incarnation @0 :UInt64; # of the entry
  name @4 :Text;
  entries @1 :List(Text); # empty if the receiver has them
  version @2 :UInt64;
  document @3 :Text;
  spare @5 :Bool;        # the entry has enough other agents
  digest @6 :UInt64;     # of the entries, for agents; 0 between entries
  centre @7 :Text;       # data centre of the entry
  drains @8 :Drains;
}

struct Placement {
  index @0 :UInt32;
  run @1 :UInt32;
}

# Tasks of one job for one agent.
struct Batch {
  number @0 :UInt64;     # unique in the life of the entry
  job @1 :Text;
  spec @2 :Text;
  size @3 :Size;         # of each task
  estimateMs @4 :UInt32;
  waitMs @5 :UInt32;     # longest wait for the start
  leftMs @6 :UInt32;     # time left to the deadline
  tasks @7 :List(Placement);
  class @8 :UInt8;       # 0 is the most urgent
  queue @9 :Text;
}

enum Ending {
  done @0;
  failed @1;             # ran, and failed by itself
  lost @2;               # may have run, and is over
  notRun @3;             # never started, and never will
}

struct Settled {
  index @0 :UInt32;
  run @1 :UInt32;
  ending @2 :Ending;
  reason @3 :Text;
  ranUs @4 :UInt64;
  crashed @5 :Bool;      # it ran when its backend server crashed
  suspicion @6 :Float32; # probability that it caused the crash
  proven @7 :Bool;       # whether it certainly ran, and the server certainly crashed
}

# Where the tasks of a batch stand.
struct Progress {
  settled @0 :List(Settled);
  open @1 :UInt32;       # tasks not settled yet
  space @2 :Space;
  known @3 :Bool;        # whether the agent has the batch
  started @4 :Bool;      # whether any of it may have started
  never @5 :Bool;        # not known: it was never received, and will not be accepted
}

interface Worker {
  # From an entry: run tasks; the reply comes when all have settled, or one that isn't done.
  # heardUs is the latest time on the agent's clock at which the entry lived.
  # session tells lives of entries apart, see lease::SessionId.
  place @0 (session :UInt64, batch :Batch, heardUs :UInt64) -> (progress :Progress);
  # What has settled of a batch after the first so many; the reply comes as for place.
  # The batch was sent at sentUs or later, on the agent's clock; leftMs is its own.
  follow @1 (session :UInt64, number :UInt64, after :UInt32, heardUs :UInt64, sentUs :UInt64, leftMs :UInt32) -> (progress :Progress);
  # Give a batch up; the reply comes when nothing of it runs.
  stop @2 (session :UInt64, number :UInt64) -> (progress :Progress);
}

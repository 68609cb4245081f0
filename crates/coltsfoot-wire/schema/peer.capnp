@0xde0e3243162d7e8a;
# Calls between nodes, over one TCP connection a pair.

struct Address {
  octets @0 :Data;    # 4 octets for IPv4, 16 for IPv6, network order
  port @1 :UInt16;
}

struct HeaderLine {
  name @0 :Text;
  value @1 :Data;
}

struct RequestHead {
  method @0 :Text;
  target @1 :Text;            # path and query
  headers @2 :List(HeaderLine);
}

struct CallRequest {
  requestHigh @0 :UInt64;     # upper half of the client request's identity
  requestLow @1 :UInt64;
  service @2 :Text;
  operation @3 :Text;
  importance @4 :UInt8;       # index, least important first
  remainingMicros @5 :UInt64; # until the deadline
  account @6 :Address;        # node that keeps the retry account; absent: no retry
  client @7 :UInt64;          # hash of the client, for fairness
  underWay @8 :Bool;          # nested below work that runs already
  key @9 :Text;               # idempotency key; empty: none
  contentType @10 :Text;
  body @11 :Data;
  revision @12 :UInt64;       # configuration in force at the caller
  stampMillis @13 :UInt64;    # caller's hybrid clock
  stampCounter @14 :UInt32;
  head @15 :RequestHead;      # absent: the product's own form of a call
  isRepeat @16 :Bool;         # the call, or one above it, is not the first attempt
  isRetry @17 :Bool;          # the call itself has reached an upstream before
  team @18 :Text;             # whose request it is; empty: nobody's in particular
  known @19 :UpstreamNotice;  # what the caller knows of the called upstream; absent: nothing
  ageMillis @20 :UInt16;      # since the client request entered, at most 65,535; 0: not reported
  wantsLoad @21 :Bool;        # the caller uses the load in the reply
}

# What an incarnation of an upstream has stated in its answers.
struct UpstreamNotice {
  instance @0 :Text;
  started @1 :UInt64;         # milliseconds since the Unix epoch; 0: not reported
  hasLimit @2 :Bool;
  limitMilli @3 :UInt64;      # thousandths of a request a second
  isLeaving @4 :Bool;
}

enum Outcome { completed @0; notRun @1; unknown @2; }

struct LevelNote {
  service @0 :Text;
  guard @1 :Address;
  severity @2 :UInt16;        # thousandths of an importance level that are shed
  rateSeverity @3 :UInt16;    # the same, for the rate that the upstream names
}

struct CallReply {
  union {
    answer :group {
      status @0 :UInt16;
      contentType @1 :Text;
      body @2 :Data;
      replayed @3 :Bool;
    }
    refusal :group {
      reason @4 :Text;
      retryAfterSeconds @5 :UInt32;   # rounded up, for nodes that know no better
      retryAfterMillis @14 :UInt32;   # 0: as retryAfterSeconds says
    }
  }
  outcome @6 :Outcome;
  levels @7 :List(LevelNote);
  upstreamMicros @8 :UInt64;  # time the upstream took
  stampMillis @9 :UInt64;     # guard's hybrid clock
  stampCounter @10 :UInt32;
  answerHeaders @11 :List(HeaderLine);  # of an answer to a call with a head
  reachedUpstream @12 :Bool;  # the call was sent to the upstream, whatever came of it
  failedBelow @13 :Bool;      # the upstream made a nested call that was not served
  isUpstreamLimit @15 :Bool;  # the refusal, whose reason is overload, is for the rate that the upstream names
  notice @16 :UpstreamNotice; # what the upstream has stated; absent: nothing
  occupancyMilli @17 :UInt16; # calls that run or wait at the guard, in thousandths of those that may run; 0: not reported
}

struct CrashReport {
  crash @0 :UInt64;           # drawn by the guard beside the upstream that ended
  ageMillis @1 :UInt64;
  suspects @2 :List(Fingerprint);
}

struct Fingerprint {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct AnswerNote {
  fingerprint @0 :Fingerprint;
  ageMillis @1 :UInt64;
}

struct CaseNote {
  fingerprint @0 :Fingerprint;
  term @1 :UInt32;            # odd: held back
  ageMillis @2 :UInt64;
}

struct QuarantineNews {
  crashes @0 :List(CrashReport);
  answers @1 :List(AnswerNote);
  cases @2 :List(CaseNote);
}

enum TakeAnswer { granted @0; denied @1; noAccount @2; late @3; }

enum ClaimState { notMine @0; neverDispatched @1; running @2; finished @3; }

interface Peer {
  call @0 (request :CallRequest) -> (reply :CallReply);
  takeRetry @1 (requestHigh :UInt64, requestLow :UInt64, takeId :UInt64)
      -> (answer :TakeAnswer, remaining :UInt32);
  configSince @2 (revision :UInt64) -> (delta :Data);  # JSON of a configuration delta
  claimState @3 (claimHigh :UInt64, claimLow :UInt64) -> (state :ClaimState);
  tellQuarantine @4 (news :QuarantineNews, wantsAll :Bool) -> (news :QuarantineNews);
  # With `wantsAll` all that the node knows comes back, else nothing.
  takeCredit @5 (asker :Address, team :Text, wanted :UInt32, used :UInt32)
      -> (isOwner :Bool, granted :UInt32, waitMicros :UInt32, shareMilli :UInt32, usagePercent :UInt16);
  # Credit for so many requests of a team, of the node that owns it; `used` were taken in unasked meanwhile. `waitMicros` until there is more, `shareMilli` the
  # asker's part of the rate in thousandths of a request a second, `usagePercent` the requests a second that were granted, or used
  # from nodes' own shares, over all nodes, in hundredths of the rate; 0: not reported.
}

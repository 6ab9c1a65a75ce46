/* A gang of two members at two agents: reserve, start held, release, first lease, renewal on evidence
 * from both members, stop, and the next attempt. Calls and answers are lost or delayed, members
 * crash, and the planner may pause between any two steps. See docs/notes/gangs.md.
 *
 * Invariants: two attempts never run concurrently, and no member runs without the other for longer
 * than a lease. Each of these defines breaks the model: NO_PROOF starts the next attempt without proof
 * that the previous attempt has ended; NO_BEAT_TIME counts a renewed lease from the arrival of the
 * renewal; NO_EVIDENCE renews without a heartbeat from both members.
 */
#define MEMBERS 4 /* two for each attempt: the next one is placed elsewhere */
#define ATTEMPTS 2
#define HOLD 1
#define FIRST 1
#define LEASE 2
#define END_OF_TIME 5

#define NONE 0
#define RESERVED 1
#define HELD 2
#define RUNNING 3
#define OVER 4

#define RESERVE 1
#define START 2
#define RELEASE 3
#define RENEW 4
#define STOP 5

byte now = 0;
byte phase[MEMBERS];
byte attempt[MEMBERS];
byte until[MEMBERS];
byte partial[ATTEMPTS];
bool crashed = false;

/* A call that was sent and has not arrived. */
bool late = false;
byte late_kind, late_member, late_attempt, late_from;

bool answered;
bool ok;
bool kept;

inline perform(kind, m, a, from) {
  ok = false;
  if
  :: kind == RESERVE && (phase[m] == NONE || phase[m] == OVER) ->
       phase[m] = RESERVED; attempt[m] = a; until[m] = now + HOLD; ok = true
  :: kind == START && phase[m] == RESERVED && attempt[m] == a ->
       phase[m] = HELD; until[m] = now + HOLD; ok = true
  :: kind == RELEASE && phase[m] == HELD && attempt[m] == a ->
       phase[m] = RUNNING; until[m] = now + FIRST; ok = true;
       /* Two attempts never run concurrently. */
       assert(m >= 2 || (phase[2] != RUNNING && phase[3] != RUNNING));
       assert(m < 2 || (phase[0] != RUNNING && phase[1] != RUNNING))
  :: kind == RENEW && phase[m] == RUNNING && attempt[m] == a ->
#ifdef NO_BEAT_TIME
       until[m] = now + LEASE;
#else
       if
       :: from + LEASE > until[m] -> until[m] = from + LEASE
       :: else
       fi;
#endif
       ok = true
  :: kind == STOP && attempt[m] == a -> phase[m] = OVER; ok = true
  :: kind == STOP && attempt[m] != a -> ok = true
  :: else
  fi
}

/* `answered` and `ok` are what the planner learns of the call. */
inline call(kind, m, a, from) {
  atomic {
    answered = false;
    if
    :: perform(kind, m, a, from); answered = true
    :: perform(kind, m, a, from)
    :: ok = false
    :: !late && (kind == RELEASE || kind == RENEW) ->
       late = true; late_kind = kind; late_member = m; late_attempt = a; late_from = from;
       ok = false
    fi;
    if
    :: !answered -> ok = false
    :: else
    fi
  }
}

active proctype Network() {
  do
  /* The answer is lost. */
  :: atomic { late -> late = false; kept = ok;
       perform(late_kind, late_member, late_attempt, late_from); ok = kept }
  :: atomic { !crashed -> crashed = true;
       if
       :: phase[0] = OVER
       :: phase[1] = OVER
       fi }
  od
}

inline count_partial(a, first, second) {
  if
  :: (phase[first] == RUNNING) != (phase[second] == RUNNING) -> partial[a]++
  :: else -> partial[a] = 0
  fi;
  assert(partial[a] <= LEASE)
}

active proctype Clock() {
  byte m;
  do
  :: d_step {
       now < END_OF_TIME ->
       now++;
       m = 0;
       do
       :: m < MEMBERS ->
          if
          :: phase[m] != NONE && phase[m] != OVER && now >= until[m] -> phase[m] = OVER
          :: else
          fi;
          m++
       :: else -> break
       od;
       count_partial(0, 0, 1);
       count_partial(1, 2, 3)
     }
  :: now == END_OF_TIME -> break
  od
}

active proctype Planner() {
  byte a = 1;
  byte base = 0;
  byte lapses;
  byte seen;
  byte rounds;
  bool fine, over0, over1;
  do
  :: a <= ATTEMPTS ->
     fine = true;
     base = (a - 1) * 2;
     call(RESERVE, base + 0, a, 0); fine = fine && ok;
     call(RESERVE, base + 1, a, 0); fine = fine && ok;
     if
     :: fine ->
        call(START, base + 0, a, 0); fine = fine && ok;
        call(START, base + 1, a, 0); fine = fine && ok
     :: else
     fi;
     /* A release is effective only during the hold, a renewal only during the lease. */
     lapses = now + HOLD + FIRST + LEASE;
     if
     :: fine ->
        call(RELEASE, base + 0, a, 0); fine = fine && ok;
        call(RELEASE, base + 1, a, 0); fine = fine && ok
     :: else
     fi;
     /* Three rounds suffice for each define to fail; the second attempt needs no round. */
     rounds = 0;
     do
     :: fine && a == 1 && rounds < 3 ->
        rounds++;
        /* Both heartbeats, then both renewals. */
        atomic { seen = now;
#ifndef NO_EVIDENCE
          fine = (phase[base] == RUNNING && phase[base + 1] == RUNNING)
#endif
        };
        if
        :: fine ->
           if
           :: seen + LEASE > lapses -> lapses = seen + LEASE
           :: else
           fi;
           call(RENEW, base + 0, a, seen);
           call(RENEW, base + 1, a, seen)
        :: else
        fi
     :: break
     od;
     /* The attempt ends with proof that each member has ended, by its answer or by time. */
     over0 = false; over1 = false;
#ifndef NO_PROOF
     do
     :: !over0 -> call(STOP, base + 0, a, 0); over0 = ok
     :: over0 && !over1 -> call(STOP, base + 1, a, 0); over1 = ok
     :: now >= lapses -> break
     :: over0 && over1 -> break
     od;
#endif
     a++
  :: else -> break
  od
}

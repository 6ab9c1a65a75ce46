/* Two planners of one zone and a job that one of two agents may run. The old planner may pause at any
 * point and lose the log. Its successor claims the next epoch, receives the agents' reports or waits
 * two leases, and starts the job unless an agent runs it. See docs/notes/planner-duty.md.
 *
 * Invariant: the job never runs at both agents. Each of these defines breaks the model: NO_FENCE lets
 * agents obey a lower epoch; NO_TRUST lets them obey a planner although they received no heartbeat from
 * an entry that reads the log for a lease; NO_WAIT lets the successor start the job before it has
 * received a report from every agent.
 */
#define AGENTS 2
#define LEASE 2
#define END_OF_TIME 7

byte now = 0;
bool claimed = false;
byte claimed_at;
/* State of each agent. */
byte epoch[AGENTS];
byte fresh_at[AGENTS];
bool running[AGENTS];
byte until[AGENTS];
/* Entries other than the old planner's receive reports from the agent. */
bool linked[AGENTS];

/* Whether agent g obeys epoch e now. */
#ifdef NO_FENCE
#define FENCE_HOLDS(g, e) (true)
#else
#define FENCE_HOLDS(g, e) (epoch[g] <= (e))
#endif
#ifdef NO_TRUST
#define TRUSTS(g) (true)
#else
#define TRUSTS(g) (now <= fresh_at[g] + LEASE)
#endif

/* Starts the job or renews its lease, which counts from now. */
inline begin(g, e) {
  atomic {
    if
    :: FENCE_HOLDS(g, e) && TRUSTS(g) ->
       if
       :: epoch[g] < e -> epoch[g] = e
       :: else
       fi;
       running[g] = true;
       assert(!running[1 - g]);
       until[g] = now + LEASE
    :: else
    fi
  }
}

inline renew(g, e) {
  atomic {
    if
    :: running[g] && now < until[g] && FENCE_HOLDS(g, e) && TRUSTS(g) -> until[g] = now + LEASE
    :: else
    fi
  }
}

active proctype Clock() {
  byte g;
  do
  :: d_step {
       now < END_OF_TIME ->
       now++;
       g = 0;
       do
       :: g < AGENTS ->
          if
          :: running[g] && now >= until[g] -> running[g] = false
          :: else
          fi;
          g++
       :: else -> break
       od
     }
  :: now == END_OF_TIME -> break
  od
}

/* Heartbeats of entries that read the log; they report a claim as soon as it is in the log. */
active [AGENTS] proctype Beats() {
  byte g = _pid % AGENTS;
  do
  :: atomic { linked[g] && now < END_OF_TIME -> fresh_at[g] = now;
       if
       :: claimed -> epoch[g] = 2
       :: else
       fi }
  :: atomic { linked[g] = !linked[g] }
  :: now == END_OF_TIME -> break
  od
}

active proctype OldPlanner() {
  byte g;
  if
  :: g = 0
  :: g = 1
  fi;
  /* The planner may pause here and resume after its successor has started the job. */
  begin(g, 1);
  do
  :: now < END_OF_TIME -> renew(g, 1)
  :: break
  od
}

active proctype Successor() {
  bool found = false;
  byte g;
  atomic { claimed = true; claimed_at = now };
#ifndef NO_WAIT
  /* Both agents reported to the successor, or all leases from the old planner have expired. */
  (epoch[0] == 2 && epoch[1] == 2) || now > claimed_at + 2 * LEASE;
#endif
  atomic {
    if
    :: epoch[0] == 2 && running[0] -> found = true
    :: else
    fi;
    if
    :: epoch[1] == 2 && running[1] -> found = true
    :: else
    fi
  };
  if
  :: found
  :: !found ->
     if
     :: g = 0
     :: g = 1
     fi;
     begin(g, 2);
     do
     :: now < END_OF_TIME -> renew(g, 2)
     :: break
     od
  fi
}

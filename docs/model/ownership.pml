/*
 * Ownership of one flow between a caller, two balancers and three agents.
 *
 * The caller retransmits its opening packet until an answer comes, then sends
 * data that confirms the handshake token of the answer it took. Any packet may
 * go to any balancer. A balancer sends to the home of its own view, which may be
 * old. Agents remember hand-overs, pass on what they do not own, and one may
 * restart. The view changes once: agent 2 is added and becomes the home.
 *
 * Properties (each violated by one mutation, see script/model):
 *   one owner:   no two agents deliver data of the flow
 *   no reset:    no reset is sent while an agent owns the established flow
 *   no revert:   the revision of a process never decreases
 */

#define AGENTS 3
#define NONE 255
#define RETRIES 1   /* retransmissions of the opening packet */
#define DATA 2      /* data packets */

mtype = { opening, data };

/* kind, handshake token, revision of the sender, bit set of visited agents,
 * whether the primary has chosen the receiver */
chan inbox[AGENTS] = [1] of { mtype, byte, byte, byte, bool };
chan answers = [2] of { byte };       /* tokens of agents that answer */

byte revision[AGENTS];                /* view of each agent */
byte published = 2;                   /* the change has been published */

/* State of each agent: 0 knows nothing, 1 half open, 2 established, 3 handed */
byte state[AGENTS];
byte owner[AGENTS];                   /* receiver of a hand-over */
byte incarnation[AGENTS];
byte delivered = 0;                   /* bit set of agents that delivered data */
byte taken = NONE;                    /* token that the caller took */
bool restarted = false;               /* the owner lost the flow by its own restart */

/* The view is settled: every process has applied the change, and what was in
 * flight before has been delivered or lost. Until then some balancer may still
 * have the old view. */
bool settled = false;

/* The token of an agent's answer names the agent and its incarnation. */
inline token(agent, result) { result = agent * 2 + incarnation[agent] }

inline home(rev, result) {
	if
	:: rev == 1 -> result = 0
	:: else -> result = 2
	fi
}

/* The next candidate in the order of a view that has not been visited. */
inline nextCandidate(rev, visited, result) {
	result = NONE;
	if
	:: rev >= 2 && !(visited & 4) -> result = 2
	:: else
	fi;
	if
	:: result == NONE && !(visited & 1) -> result = 0
	:: else
	fi;
	if
	:: result == NONE && !(visited & 2) -> result = 1
	:: else
	fi
}

/* A full inbox loses the packet, as the network may. */
inline send(to, what, tok, rev, visited, placed) {
	if
	:: nfull(inbox[to]) -> inbox[to]!what, tok, rev, visited, placed
	:: true -> skip
	fi
}

/* Spray sends a packet through an arbitrary balancer, whose view may be old. */
inline spray(what, tok) {
	if
	:: !settled -> rev = 1
	:: rev = published
	fi;
	home(rev, target);
	send(target, what, tok, rev, 0, false)
}

active proctype Caller() {
	byte rev, target, tok, tries = 0, sent = 0;
	do
	:: taken == NONE && tries <= RETRIES ->
		atomic { spray(opening, 0); tries++ }
	:: taken == NONE && nempty(answers) ->
		atomic { answers?tok; taken = tok }
	:: taken != NONE && nempty(answers) ->
		atomic { answers?tok }           /* a second answer is ignored */
	:: taken != NONE && sent < DATA ->
		atomic { spray(data, taken); sent++ }
	:: taken != NONE && sent == DATA -> break
	:: tries > RETRIES && taken == NONE && empty(answers) && timeout -> break
	od
}

inline search(id, what, tok, rev, visited) {
	nextCandidate(revision[id], (visited | (1 << id)), target);
	if
	:: target != NONE ->
		if
		:: rev < revision[id] -> rev = revision[id]
		:: else
		fi;
		visited = visited | (1 << id);
		send(target, what, tok, rev, visited, false)
	:: else ->
		if
#ifndef MUTATE_STALE_RESET
		:: rev > revision[id] -> skip    /* the view is old: drop */
		:: rev <= revision[id] && !settled -> skip
		:: rev <= revision[id] && settled ->
#else
		:: true ->
#endif
			if
			:: state[taken / 2] == 2 && incarnation[taken / 2] == taken % 2 -> assert(false) /* no reset */
			:: else
			fi
		fi
	fi
}

#define ONE_OWNER (delivered == 1 || delivered == 2 || delivered == 4)

inline deliver(id) {
	delivered = delivered | (1 << id);
	assert(ONE_OWNER) /* one owner */
}

inline take(id) {
	state[id] = 1;
	token(id, tok2);
	if
	:: nfull(answers) -> answers!tok2
	:: true -> skip
	fi
}

proctype Agent(byte id) {
	mtype kind;
	byte tok, rev, visited, target, tok2;
	bool placed;
end:
	do
	:: atomic {
		inbox[id]?kind, tok, rev, visited, placed ->
		if
		:: kind == opening && state[id] == 0 ->
			if
			:: take(id)
			:: !placed && id != 1 ->     /* hand over to agent 1 */
				state[id] = 3; owner[id] = 1;
				send(1, opening, 0, rev, (visited | (1 << id)), true)
			fi
		:: kind == opening && state[id] == 3 ->
#ifndef MUTATE_FORGET_HANDOVER
			send(owner[id], opening, 0, rev, (visited | (1 << id)), true)
#else
			take(id)
#endif
		:: kind == opening && (state[id] == 1 || state[id] == 2) ->
			token(id, tok2);
			if
			:: nfull(answers) -> answers!tok2
			:: true -> skip
			fi
		:: kind == data && state[id] == 1 ->
			token(id, tok2);
			if
#ifndef MUTATE_ACCEPT_ANY
			:: tok == tok2 -> state[id] = 2; deliver(id)
			:: tok != tok2 -> search(id, kind, tok, rev, visited)
#else
			:: true -> state[id] = 2; deliver(id)
#endif
			fi
		:: kind == data && state[id] == 2 ->
			deliver(id)
		:: kind == data && (state[id] == 0 || state[id] == 3) ->
			search(id, kind, tok, rev, visited)
		fi;
		kind = 0; tok = 0; rev = 0; visited = 0; target = 0; tok2 = 0; placed = false
	}
	od
}

/* Agent 0 may restart once and lose what it knew. */
active proctype Restart() {
	if
	:: atomic { state[0] = 0; incarnation[0] = 1; restarted = true }
	:: true -> skip
	fi
}

/* Each agent learns of documents in any order, old ones again included. */
proctype Learn(byte i) {
	byte offer;
	do
	:: atomic {
		if
		:: offer = 1
		:: offer = published
		fi;
		if
#ifndef MUTATE_REVERT
		:: offer > revision[i] -> revision[i] = offer
		:: else
#else
		:: true ->
			assert(offer >= revision[i]); /* no revert */
			revision[i] = offer
#endif
		fi;
		offer = 0
	}
	:: revision[i] == published -> break
	od
}

active proctype Settle() {
	(revision[0] == 2 && revision[1] == 2 && revision[2] == 2 &&
	 empty(inbox[0]) && empty(inbox[1]) && empty(inbox[2])) -> settled = true
}

init {
	atomic {
		revision[0] = 1; revision[1] = 1; revision[2] = 1;
		run Agent(0); run Agent(1); run Agent(2);
		run Learn(0); run Learn(1); run Learn(2)
	}
}

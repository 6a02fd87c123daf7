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
#define MAX_RETRANSMISSIONS 1   /* retransmissions of the opening packet */
#define ESTABLISHED_PACKETS 2      /* data packets */

mtype = { opening, established };

/* kind, handshake token, revision of the sender, bit set of visited agents,
 * whether the primary has chosen the receiver */
chan inbox[AGENTS] = [1] of { mtype, byte, byte, byte, bool };
chan handshakeReplies = [2] of { byte };       /* tokens of agents that answer */

byte viewRevision[AGENTS];                /* view of each agent */
byte publishedRevision = 2;                   /* the change has been published */

/* State of each agent: 0 knows nothing, 1 half open, 2 established, 3 handed */
byte flowState[AGENTS];
byte owner[AGENTS];                   /* receiver of a hand-over */
byte incarnation[AGENTS];
byte deliveredBy = 0;                   /* bit set of agents that delivered data */
byte acknowledgedToken = NONE;                    /* token that the caller took */
bool restarted = false;               /* the owner lost the flow by its own restart */

/* The view is settled: every process has applied the change, and what was in
 * flight before has been delivered or lost. Until then some balancer may still
 * have the old view. */
bool settled = false;

/* The token of an agent's answer names the agent and its incarnation. */
inline handshakeToken(agent, result) { result = agent * 2 + incarnation[agent] }

inline firstCandidate(revision, result) {
	if
	:: revision == 1 -> result = 0
	:: else -> result = 2
	fi
}

/* The next candidate in the order of a view that has not been visited. */
inline nextCandidate(revision, visited, result) {
	result = NONE;
	if
	:: revision >= 2 && !(visited & 4) -> result = 2
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
inline send(to, kind, token, senderRevision, visited, placed) {
	if
	:: nfull(inbox[to]) -> inbox[to]!kind, token, senderRevision, visited, placed
	:: true -> skip
	fi
}

/* Spray sends a packet through an arbitrary balancer, whose view may be old. */
inline sendViaBalancer(kind, token) {
	if
	:: !settled -> balancerRevision = 1
	:: balancerRevision = publishedRevision
	fi;
	firstCandidate(balancerRevision, target);
	send(target, kind, token, balancerRevision, 0, false)
}

active proctype Caller() {
	byte balancerRevision, target, token, openingSent = 0, establishedSent = 0;
	do
	:: acknowledgedToken == NONE && openingSent <= MAX_RETRANSMISSIONS ->
		atomic { sendViaBalancer(opening, 0); openingSent++ }
	:: acknowledgedToken == NONE && nempty(handshakeReplies) ->
		atomic { handshakeReplies?token; acknowledgedToken = token }
	:: acknowledgedToken != NONE && nempty(handshakeReplies) ->
		atomic { handshakeReplies?token }           /* a second answer is ignored */
	:: acknowledgedToken != NONE && establishedSent < ESTABLISHED_PACKETS ->
		atomic { sendViaBalancer(established, acknowledgedToken); establishedSent++ }
	:: acknowledgedToken != NONE && establishedSent == ESTABLISHED_PACKETS -> break
	:: openingSent > MAX_RETRANSMISSIONS && acknowledgedToken == NONE && empty(handshakeReplies) && timeout -> break
	od
}

inline search(id, kind, token, senderRevision, visited) {
	nextCandidate(viewRevision[id], (visited | (1 << id)), target);
	if
	:: target != NONE ->
		if
		:: senderRevision < viewRevision[id] -> senderRevision = viewRevision[id]
		:: else
		fi;
		visited = visited | (1 << id);
		send(target, kind, token, senderRevision, visited, false)
	:: else ->
		if
#ifndef MUTATE_STALE_RESET
		:: senderRevision > viewRevision[id] -> skip    /* the view is old: drop */
		:: senderRevision <= viewRevision[id] && !settled -> skip
		:: senderRevision <= viewRevision[id] && settled ->
#else
		:: true ->
#endif
			if
			:: flowState[acknowledgedToken / 2] == 2 && incarnation[acknowledgedToken / 2] == acknowledgedToken % 2 -> assert(false) /* no reset */
			:: else
			fi
		fi
	fi
}

#define ONE_OWNER (deliveredBy == 1 || deliveredBy == 2 || deliveredBy == 4)

inline deliver(id) {
	deliveredBy = deliveredBy | (1 << id);
	assert(ONE_OWNER) /* one owner */
}

inline acceptFlow(id) {
	flowState[id] = 1;
	handshakeToken(id, ownToken);
	if
	:: nfull(handshakeReplies) -> handshakeReplies!ownToken
	:: true -> skip
	fi
}

proctype Agent(byte id) {
	mtype kind;
	byte token, senderRevision, visited, target, ownToken;
	bool placed;
end:
	do
	:: atomic {
		inbox[id]?kind, token, senderRevision, visited, placed ->
		if
		:: kind == opening && flowState[id] == 0 ->
			if
			:: acceptFlow(id)
			:: !placed && id != 1 ->     /* hand over to agent 1 */
				flowState[id] = 3; owner[id] = 1;
				send(1, opening, 0, senderRevision, (visited | (1 << id)), true)
			fi
		:: kind == opening && flowState[id] == 3 ->
#ifndef MUTATE_FORGET_HANDOVER
			send(owner[id], opening, 0, senderRevision, (visited | (1 << id)), true)
#else
			acceptFlow(id)
#endif
		:: kind == opening && (flowState[id] == 1 || flowState[id] == 2) ->
			handshakeToken(id, ownToken);
			if
			:: nfull(handshakeReplies) -> handshakeReplies!ownToken
			:: true -> skip
			fi
		:: kind == established && flowState[id] == 1 ->
			handshakeToken(id, ownToken);
			if
#ifndef MUTATE_ACCEPT_ANY
			:: token == ownToken -> flowState[id] = 2; deliver(id)
			:: token != ownToken -> search(id, kind, token, senderRevision, visited)
#else
			:: true -> flowState[id] = 2; deliver(id)
#endif
			fi
		:: kind == established && flowState[id] == 2 ->
			deliver(id)
		:: kind == established && (flowState[id] == 0 || flowState[id] == 3) ->
			search(id, kind, token, senderRevision, visited)
		fi;
		kind = 0; token = 0; senderRevision = 0; visited = 0; target = 0; ownToken = 0; placed = false
	}
	od
}

/* Agent 0 may restart once and lose what it knew. */
active proctype AgentRestart() {
	if
	:: atomic { flowState[0] = 0; incarnation[0] = 1; restarted = true }
	:: true -> skip
	fi
}

/* Each agent learns of documents in any order, old ones again included. */
proctype DocumentReceiver(byte id) {
	byte receivedRevision;
	do
	:: atomic {
		if
		:: receivedRevision = 1
		:: receivedRevision = publishedRevision
		fi;
		if
#ifndef MUTATE_REVERT
		:: receivedRevision > viewRevision[id] -> viewRevision[id] = receivedRevision
		:: else
#else
		:: true ->
			assert(receivedRevision >= viewRevision[id]); /* no revert */
			viewRevision[id] = receivedRevision
#endif
		fi;
		receivedRevision = 0
	}
	:: viewRevision[id] == publishedRevision -> break
	od
}

active proctype ViewSettlement() {
	(viewRevision[0] == 2 && viewRevision[1] == 2 && viewRevision[2] == 2 &&
	 empty(inbox[0]) && empty(inbox[1]) && empty(inbox[2])) -> settled = true
}

init {
	atomic {
		viewRevision[0] = 1; viewRevision[1] = 1; viewRevision[2] = 1;
		run Agent(0); run Agent(1); run Agent(2);
		run DocumentReceiver(0); run DocumentReceiver(1); run DocumentReceiver(2)
	}
}

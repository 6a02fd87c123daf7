/*
 * Specification of which agent owns one flow, with one caller, two balancers and
 * three agents.
 *
 * The caller retransmits its opening packet until it receives a handshake reply, and
 * then sends established packets, which acknowledge the handshake token of that reply.
 * Any packet may go through either balancer. A balancer sends the packet to the first
 * candidate of its own view, which may be old. An agent remembers which flows it has
 * handed over, and forwards packets of flows that it does not own. Agent 0 may restart
 * once. The view changes once: agent 2 is added and becomes the first candidate.
 *
 * Each property is violated under one mutation, which script/model checks:
 *   one owner:   no two agents deliver established packets of the flow
 *                (MUTATE_ACCEPT_ANY: an agent establishes a half-open flow with any
 *                handshake token)
 *   no reset:    no reset is sent while an agent owns the established flow
 *                (MUTATE_STALE_RESET: an agent sends a reset although its view is not
 *                settled or is older than the sender's)
 *   no revert:   the revision that an agent has applied never decreases
 *                (MUTATE_REVERT: an agent applies documents with an older revision)
 *
 * With MOVED_ROUTE another specification is compiled, that of carried flows beside a moved
 * route. See there.
 */

#define AGENTS 3
#define NONE 255                /* no agent, or no token */

#ifndef MOVED_ROUTE
#define MAX_RETRANSMISSIONS 1   /* of the opening packet, after the first copy */
#define ESTABLISHED_PACKETS 2   /* number that the caller sends */

/* Kinds of packets: the first packet of the flow or a copy of it, and any later packet. */
mtype = { opening, established };

/* Each agent's inbox has room for one packet. The fields of a packet are:
 *   - its kind
 *   - the handshake token that it acknowledges, or 0 in an opening packet
 *   - the highest revision among the views of its balancer and of the agents that
 *     forwarded it in the search
 *   - the bit set of the agents that it has visited (1 << agent)
 *   - whether the sender has handed the new flow over to the agent of this inbox */
chan inbox[AGENTS] = [1] of { mtype, byte, byte, byte, bool };
chan handshakeReplies = [2] of { byte };   /* handshake tokens of the replies */

byte viewRevision[AGENTS];          /* revision of the view that each agent has applied */
byte publishedRevision = 2;         /* published from the start: adds agent 2 to revision 1 */

/* State of the flow at each agent: 0 unknown, 1 half-open, 2 established,
 * 3 handed over */
byte flowState[AGENTS];
byte owner[AGENTS];                 /* in state 3, the agent it was handed over to */
byte incarnation[AGENTS];           /* number of restarts */
byte deliveredBy = 0;               /* bit set of agents that delivered established packets */
byte acknowledgedToken = NONE;      /* handshake token that the caller acknowledges */
bool restarted = false;             /* whether agent 0 has restarted; no property reads it */

/* settled is true once the view is settled: every process has applied the change, and the
 * packets that were in flight to agents before have been received or lost (for one
 * exception, see ViewSettlement). Until then either balancer may still have the old view. */
bool settled = false;

/* handshakeToken sets result to the token in an agent's handshake replies. It identifies the
 * agent and its incarnation, 0 or 1, so that a packet that acknowledges a reply of another
 * agent, or one from before a restart, does not establish the flow that is half-open here. */
inline handshakeToken(agent, result) { result = agent * 2 + incarnation[agent] }

/* firstCandidate sets result to the first candidate at a revision, to which a balancer
 * sends all packets. It is the primary as well, since every agent of the model accepts new
 * flows and is reachable. */
inline firstCandidate(revision, result) {
	if
	:: revision == 1 -> result = 0
	:: else -> result = 2
	fi
}

/* nextCandidate sets result to the first agent not in visited, in the order of candidates
 * at a revision: 0, 1 at revision 1 and 2, 0, 1 at revision 2. result is NONE if all of them
 * have been visited. */
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

/* send sends a packet to an agent. The network may lose any packet, and a packet to a full
 * inbox is lost. */
inline send(to, kind, token, senderRevision, visited, placed) {
	if
	:: nfull(inbox[to]) -> inbox[to]!kind, token, senderRevision, visited, placed
	:: true -> skip
	fi
}

/* sendViaBalancer sends a packet of the caller through either balancer, whose view may be
 * the old one until the view is settled. */
inline sendViaBalancer(kind, token) {
	if
	:: !settled -> balancerRevision = 1
	:: balancerRevision = publishedRevision
	fi;
	firstCandidate(balancerRevision, target);
	send(target, kind, token, balancerRevision, 0, false)
}

/* Caller opens the flow and sends packets on it. It acknowledges the first handshake reply
 * that it receives. It ends when it has sent all its packets, or if it has received no reply
 * and none can come any more: timeout is true when no other statement of any process is
 * executable. */
active proctype Caller() {
	byte balancerRevision, target, token, openingSent = 0, establishedSent = 0;
	do
	:: acknowledgedToken == NONE && openingSent <= MAX_RETRANSMISSIONS ->
		atomic { sendViaBalancer(opening, 0); openingSent++ }
	:: acknowledgedToken == NONE && nempty(handshakeReplies) ->
		atomic { handshakeReplies?token; acknowledgedToken = token }
	:: acknowledgedToken != NONE && nempty(handshakeReplies) ->
		atomic { handshakeReplies?token }   /* ignored: the caller has a token already */
	:: acknowledgedToken != NONE && establishedSent < ESTABLISHED_PACKETS ->
		atomic { sendViaBalancer(established, acknowledgedToken); establishedSent++ }
	:: acknowledgedToken != NONE && establishedSent == ESTABLISHED_PACKETS -> break
	:: openingSent > MAX_RETRANSMISSIONS && acknowledgedToken == NONE && empty(handshakeReplies) && timeout -> break
	od
}

/* search forwards an established packet, whose flow the agent does not own, to the next
 * candidate. When no candidate is left, it sends a reset if the search shows that no agent
 * owns the flow, and drops the packet otherwise. The search shows this only if the view is
 * settled and the agent's view is not older than the views of the balancer and of the
 * agents that forwarded the packet. */
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
		:: senderRevision > viewRevision[id] -> skip    /* drop: the sender's view is newer */
		:: senderRevision <= viewRevision[id] && !settled -> skip   /* drop: view not settled */
		:: senderRevision <= viewRevision[id] && settled ->
#else
		:: true ->
#endif
			/* Here the agent sends a reset. The agent that issued the
			 * acknowledged token must not have the flow established, unless it
			 * has restarted since. */
			if
			:: flowState[acknowledgedToken / 2] == 2 && incarnation[acknowledgedToken / 2] == acknowledgedToken % 2 -> assert(false) /* no reset */
			:: else
			fi
		fi
	fi
}

/* Whether exactly one agent has delivered established packets. */
#define ONE_OWNER (deliveredBy == 1 || deliveredBy == 2 || deliveredBy == 4)

/* deliver delivers an established packet at an agent. A restart does not clear deliveredBy:
 * no other agent may deliver packets of the flow even after its owner has restarted. */
inline deliver(id) {
	deliveredBy = deliveredBy | (1 << id);
	assert(ONE_OWNER) /* one owner */
}

/* acceptFlow makes the flow half-open at an agent, which sends a handshake reply. The network
 * may lose any reply, and a reply is lost if handshakeReplies is full. */
inline acceptFlow(id) {
	flowState[id] = 1;
	handshakeToken(id, ownToken);
	if
	:: nfull(handshakeReplies) -> handshakeReplies!ownToken
	:: true -> skip
	fi
}

/* Agent handles the packets that agent id receives, one at a time. It accepts a new flow or
 * hands it over to agent 1, the only agent that receives hand-overs; a flow that was handed
 * over is not handed over again. An agent that has handed the flow over forwards
 * retransmitted opening packets to the agent that received it. The first established packet
 * that acknowledges the agent's own token establishes a half-open flow. With an established
 * packet of a flow that it does not own, or that acknowledges another token than that of
 * its half-open flow, the agent searches for the owner. */
proctype Agent(byte id) {
	mtype kind;
	byte token, senderRevision, visited, target, ownToken;
	bool placed;
end:	/* an agent that waits for a packet is in a valid end state */
	do
	:: atomic {
		inbox[id]?kind, token, senderRevision, visited, placed ->
		if
		:: kind == opening && flowState[id] == 0 ->
			if
			:: acceptFlow(id)
			:: !placed && id != 1 ->
				flowState[id] = 3; owner[id] = 1;
				send(1, opening, 0, senderRevision, (visited | (1 << id)), true)
			fi
		:: kind == opening && flowState[id] == 3 ->
			send(owner[id], opening, 0, senderRevision, (visited | (1 << id)), true)
		:: kind == opening && (flowState[id] == 1 || flowState[id] == 2) ->
			/* The flow was accepted already: send the handshake reply again. */
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
		/* Clear the variables, so that states that differ only in the last
		 * packet count as one. */
		kind = 0; token = 0; senderRevision = 0; visited = 0; target = 0; ownToken = 0; placed = false
	}
	od
}

/* AgentRestart restarts agent 0 at any time or not at all. The agent loses its entry of
 * the flow and keeps its view. */
active proctype AgentRestart() {
	if
	:: atomic { flowState[0] = 0; incarnation[0] = 1; restarted = true }
	:: true -> skip
	fi
}

/* DocumentReceiver receives documents for agent id, in any order and any number of times,
 * and applies those with a newer revision. It may end at any time after the agent has
 * applied the published revision; until it ends, the old document may arrive again.
 * MUTATE_REVERT applies every document and asserts that the revision does not decrease,
 * which shows that the comparison is needed. */
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
		receivedRevision = 0   /* so that states that differ only in it count as one */
	}
	:: viewRevision[id] == publishedRevision -> break
	od
}

/* ViewSettlement sets settled once all agents have applied the published revision and all
 * inboxes are empty. The check and the assignment are separate steps: a balancer, which may
 * have the old view, can send a packet between them, which is then still in flight when
 * settled becomes true. */
active proctype ViewSettlement() {
	(viewRevision[0] == 2 && viewRevision[1] == 2 && viewRevision[2] == 2 &&
	 empty(inbox[0]) && empty(inbox[1]) && empty(inbox[2])) -> settled = true
}

/* init starts all agents with the view before the change. */
init {
	atomic {
		viewRevision[0] = 1; viewRevision[1] = 1; viewRevision[2] = 1;
		run Agent(0); run Agent(1); run Agent(2);
		run DocumentReceiver(0); run DocumentReceiver(1); run DocumentReceiver(2)
	}
}

#else /* MOVED_ROUTE */

/*
 * Specification of the search for the owner of a carried flow, which a backend server holds
 * from before its agent restarts. The flow is open at the server beside agent HOLDER, and its
 * route has since moved to the servers beside agents 0 and 1. Agent 1 and HOLDER restart once
 * each, at any time and in any order, also at the same moment. An agent that has restarted
 * does not know that the route had another service before, until a peer that knows it says so.
 * Agents learn late, or not at all, which of the others can be reached.
 *
 * Property: no agent resets the flow, which its server holds all the while. It is violated
 * under each mutation, which script/model checks:
 *   MUTATE_VISIT_PROVES:  an agent takes the agents that a packet has visited for ones that
 *                         have denied the flow, and asks nobody but the selected agents about a
 *                         relayed packet
 *   MUTATE_SELECTED_ONLY: an agent that has restarted asks only agents whose servers are selected
 *   MUTATE_EARLY_DENIAL:  an agent that has restarted denies the flows that it has not seen
 */

#define HOLDER 2
#define PACKETS 2               /* number that the caller sends */
#define BIT(agent) (1 << (agent))
#define SELECTED (BIT(0) | BIT(1))
#define ALL (SELECTED | BIT(HOLDER))

/* Each agent's inbox has room for one packet: the bit set of the agents that it has visited, and
 * whether it was relayed. */
chan inbox[AGENTS] = [1] of { byte, bool };

bool isUp[AGENTS];
bool knowsFormer[AGENTS];       /* knows that the route had the service of HOLDER before */
byte reachable[AGENTS];         /* bit set of the agents that this one takes for reachable */
byte incarnation[AGENTS];

/* send sends a packet to an agent. It is lost if the agent is away or its inbox is full, and the
 * network may lose any packet. */
inline send(to, packetVisited, packetRelayed) {
	if
	:: isUp[to] && nfull(inbox[to]) -> inbox[to]!packetVisited, packetRelayed
	:: true -> skip
	fi
}

/* possibleOwners sets result to the agents that may own the flow as far as an agent knows. One that
 * does not know the former selectors of the route takes all agents for possible owners. */
inline possibleOwners(agent, isRelayed, result) {
	result = ALL;
	if
#ifdef MUTATE_SELECTED_ONLY
	:: !knowsFormer[agent] -> result = SELECTED
#endif
#ifdef MUTATE_VISIT_PROVES
	:: !knowsFormer[agent] && isRelayed -> result = SELECTED
#endif
	:: else
	fi
}

/* ask asks another agent whether it owns the flow, and adds it to denied if it denies that. An agent
 * denies a flow that its server has bounced. ask sets isOver if the flow is found, or if the agent
 * gives no answer, so that the packet is dropped. */
inline ask(other) {
	if
	:: !isUp[other] -> isOver = true
	:: isUp[other] && other != HOLDER -> denied = denied | BIT(other)
	:: isUp[other] && other == HOLDER ->
#ifdef MUTATE_EARLY_DENIAL
		if
		:: incarnation[HOLDER] > 0 -> denied = denied | BIT(HOLDER)
		:: else -> isOver = true
		fi
#else
		isOver = true
#endif
	fi
}

/* conclude decides about a packet once all reachable agents that may own its flow have been asked.
 * If one cannot be reached, the packet is relayed once through the third agent, or else dropped. If
 * none is left, the agent resets the flow. */
inline conclude() {
	if
	:: (owners & ~denied) != 0 && !relayed ->
		if
		:: (owners & ~denied & BIT(HOLDER)) != 0 -> other = 1 - id
		:: else -> other = HOLDER
		fi;
		send(other, (visited | BIT(id)), true)
	:: (owners & ~denied) != 0 && relayed -> skip
	:: (owners & ~denied) == 0 -> assert(false) /* no reset */
	fi;
	isOver = true
}

/* Agent offers each packet to its server first. The server beside HOLDER takes it; another one bounces
 * it, and the agent searches for the owner. The search ends if the agent restarts. */
proctype Agent(byte id) {
	byte visited, owners, denied, start, other;
	bool relayed, isOver;
end:
	do
	:: atomic {
		inbox[id]?visited, relayed ->
		start = incarnation[id];
		isOver = (id == HOLDER);
		denied = BIT(id);
#ifdef MUTATE_VISIT_PROVES
		denied = denied | visited
#endif
	};
	do
	:: atomic { isOver || incarnation[id] != start -> break }
	:: atomic {
		!isOver && incarnation[id] == start ->
		possibleOwners(id, relayed, owners);
		if
		:: (owners & reachable[id] & ~denied & BIT(0)) != 0 -> ask(0)
		:: (owners & reachable[id] & ~denied & BIT(1)) != 0 -> ask(1)
		:: (owners & reachable[id] & ~denied & BIT(HOLDER)) != 0 -> ask(HOLDER)
		:: (owners & reachable[id] & ~denied) == 0 -> conclude()
		fi
	}
	od;
	atomic { visited = 0; owners = 0; denied = 0; start = 0; other = 0; relayed = false; isOver = false }
	od
}

/* Caller sends packets through a balancer that forwards each to a selected agent. */
active proctype Caller() {
	byte sent = 0;
	do
	:: sent < PACKETS -> atomic { send(0, 0, false); sent++ }
	:: sent < PACKETS -> atomic { send(1, 0, false); sent++ }
	:: sent == PACKETS -> break
	od
}

/* Restart stops an agent, which loses the packet in its inbox, and starts it again. It then takes all
 * others for reachable and knows no former selectors. */
proctype Restart(byte id) {
	byte visited;
	bool relayed;
	atomic {
		isUp[id] = false;
		incarnation[id]++;
		if
		:: nempty(inbox[id]) -> inbox[id]?visited, relayed
		:: empty(inbox[id])
		fi;
		visited = 0; relayed = false
	};
	atomic { isUp[id] = true; knowsFormer[id] = false; reachable[id] = ALL }
}

/* Probe updates at any time what an agent believes of another one. */
proctype Probe(byte id; byte other) {
end:
	do
	:: atomic { isUp[id] && isUp[other] && (reachable[id] & BIT(other)) == 0 -> reachable[id] = reachable[id] | BIT(other) }
	:: atomic { isUp[id] && !isUp[other] && (reachable[id] & BIT(other)) != 0 -> reachable[id] = reachable[id] & ~BIT(other) }
	od
}

/* History tells an agent the former selectors of the route if another one knows them. */
proctype History(byte id; byte other) {
end:
	do
	:: atomic { isUp[id] && isUp[other] && knowsFormer[other] && !knowsFormer[id] -> knowsFormer[id] = true }
	od
}

init {
	atomic {
		isUp[0] = true; isUp[1] = true; isUp[HOLDER] = true;
		knowsFormer[0] = true; knowsFormer[1] = true; knowsFormer[HOLDER] = true;
		reachable[0] = ALL; reachable[1] = ALL; reachable[HOLDER] = ALL;
		run Agent(0); run Agent(1); run Agent(HOLDER);
		run Restart(1); run Restart(HOLDER);
		run Probe(0, 1); run Probe(0, HOLDER); run Probe(1, HOLDER);
		run History(1, 0); run History(HOLDER, 0); run History(1, HOLDER)
	}
}

#endif

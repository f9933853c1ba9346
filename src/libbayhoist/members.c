/* SPDX-License-Identifier: BSD-3-Clause */
/* SWIM membership. In every period a node probes one member. If the probe is not acknowledged, it asks three
 * other members to probe the target (indirect probes). If these are not acknowledged either, it suspects the
 * target and declares it dead some seconds later, unless the target refutes the suspicion. Probes and
 * acknowledgements carry member updates; each update is sent a number of times that grows with the logarithm
 * of the number of nodes. An update that has to reach all nodes at once is broadcast down the ring tree
 * (ring.h), and probes then carry it only a few times, for the nodes that the broadcast missed. */
#include "bayhoist/members.h"

#include <string.h>
#include "bayhoist/hash.h"
#include "ring.h"

#define PROBE_PERIOD_US_ (500 * BH__MS_US)
#define DIRECT_PROBE_WAIT_US_ (200 * BH__MS_US) /* from a probe to the requests for indirect probes */
#define SUSPICION_US_ (2 * BH__SECOND_US)       /* from suspicion to death */
/* How long a dead member is kept. A network partition between regions lasts about an hour, and account rates
 * must take the nodes on its other side into account. */
#define FORGET_DEAD_US_ (3600 * BH__SECOND_US)
#define JOIN_RETRY_US_ (1 * BH__SECOND_US)     /* between joins to seeds */
#define FIRST_JOIN_RETRY_US_ (100 * BH__MS_US) /* while no other node is known */
/* How long to wait for the first message of an unconfirmed member. When all nodes start at once, those of the
 * users' deployment do so within 300 ms of each other. */
#define UNCONFIRMED_MAX_WAIT_US_ (300 * BH__MS_US)
#define SYNC_PERIOD_US_ (30 * BH__SECOND_US)
/* A node that has just started compares member tables often: when all nodes start at once, updates carried by
 * probes alone take a minute to reach everyone (80 nodes, 8 records a message). */
#define STARTUP_US_ (4 * BH__SECOND_US)
#define STARTUP_SYNC_PERIOD_US_ (250 * BH__MS_US)
#define INDIRECT_PROBERS_ 3
#define HALF_RING_ ((uint64_t)1 << 63)
#define RING_BITS_ 64
#define SEND_FACTOR_ 3 /* an update is sent this many times log2(number of nodes) */
/* How often probes carry a record that has also been broadcast. The few nodes that the broadcast missed
 * because of an unresponsive forwarder exchange probes with several informed nodes within a period. */
#define SENDS_AFTER_BROADCAST_ 4

/* A member and the state of sending its record to others. */
typedef struct {
	BH__MemberInfo info;
	uint64_t state_since_us; /* time at which info.state was last set */
	/* time of the next ping to a member that this node itself suspects; UINT64_MAX: none */
	uint64_t next_suspect_ping_us;
	unsigned sends_left; /* times that pings and acks will still carry this record */
} Entry_;

/* A probe that this node sends on behalf of another. */
typedef struct {
	uint64_t sequence; /* of this node's ping to the target */
	uint64_t requester_node;
	uint64_t requester_sequence; /* of the acknowledgement to the requester */
	uint64_t expires_us;         /* an acknowledgement after this time may be ignored */
} IndirectProbe_;

struct BH__Members {
	BH__MembersPort *port;
	Entry_ self;             /* this node; only `info` is used */
	GPtrArray *entries;      /* Entry_ *: all members except this node */
	GHashTable *by_id;       /* &Entry_.info.node_id -> Entry_ *, not owned */
	GArray *ring_ids;        /* uint64_t: node ids of all entries, ascending */
	GPtrArray *seeds;        /* char *: peer addresses to join by */
	GArray *indirect_probes; /* IndirectProbe_: not acknowledged yet */
	GRand *rand;
	BH__HallPaths *paths;     /* between the halls, kept by the owner; NULL: not watched */
	uint64_t version;         /* incremented by each change that can affect bh__members_pick() */
	uint64_t quarantine_hash; /* sent in pings and acks */
	uint64_t last_sequence;   /* sequence number of the last ping sent; 0: none */
	unsigned next_finger;     /* the next finger lies half of the ring ahead, halved this many times more */
	bool probed_neighbour;    /* whether the last probe went to the ring neighbour */
	uint64_t probe_node;      /* target of the current probe; 0: none or acknowledged */
	uint64_t probe_sequence;  /* of the current probe */
	uint64_t probe_sent_us;   /* time of the current probe, or of the end of a pause of this process */
	bool indirect_requested;  /* whether indirect probes of the target have been requested */
	uint64_t next_join_us;    /* time of the next join to a seed; 0: none has been sent yet */
	uint64_t next_sync_us;    /* time of the next comparison of member tables */
	uint64_t started_us;      /* time of the first tick; 0: none yet */
	uint64_t last_tick_us;    /* 0: none yet */
};

static void send_(BH__Members *m, const char *address, BH__Message *msg);
static void fill_ping_(BH__Members *m, BH__Message *msg, BH__MessageType type, uint64_t sequence);
static unsigned select_updates_(const BH__Members *m, Entry_ *out[BH__MESSAGE_UPDATES_MAX]);
static unsigned get_send_count_(const BH__Members *m);
static void sync_(BH__Members *m, uint64_t now_us);
static unsigned get_part_(uint64_t node_id);
static void hash_parts_(const BH__Members *m, uint64_t hash[BH__MEMBER_PARTITIONS]);
static uint64_t find_differing_parts_(const BH__Members *m, const uint64_t hash[BH__MEMBER_PARTITIONS]);
static uint64_t hash_entry_(const BH__MemberInfo *info);
static void join_seeds_(BH__Members *m, uint64_t now_us);
static void send_join_(BH__Members *m, const char *address);
static bool is_member_address_(const BH__Members *m, const char *address);
static bool is_unconfirmed_(const Entry_ *e);
static void probe_next_(BH__Members *m, uint64_t now_us);
static Entry_ *find_neighbour_(const BH__Members *m);
static Entry_ *find_next_finger_(BH__Members *m);
static Entry_ *find_first_from_(const BH__Members *m, uint64_t node_id, BH__MemberState worst_state);
static void check_probe_(BH__Members *m, uint64_t now_us);
static void request_indirect_probes_(BH__Members *m, const Entry_ *target);
static void expire_members_(BH__Members *m, uint64_t now_us);
static void add_(BH__Members *m, Entry_ *e);
static guint find_ring_index_(const BH__Members *m, uint64_t node_id);
static void remove_(BH__Members *m, Entry_ *e);
static bool merge_(BH__Members *m, const BH__MemberInfo *info, unsigned sends, uint64_t now_us);
static void on_join_(BH__Members *m, const BH__Message *msg, uint64_t now_us);
static bool is_starting_up_(const BH__Members *m, uint64_t now_us);
static void merge_self_(BH__Members *m, const BH__MemberInfo *info);
static bool supersedes_(const BH__MemberInfo *a, const BH__MemberInfo *b);
static void suspect_(BH__Members *m, Entry_ *e, uint64_t now_us);
static void ping_suspect_(BH__Members *m, Entry_ *e, uint64_t now_us);
static void broadcast_member_(BH__Members *m, const BH__MemberInfo *info, unsigned trees);
static bool is_alive_(const void *members, uint64_t node_id);
static bool is_excused_(const BH__Members *m, const Entry_ *e);
static void broadcast_on_trees_(BH__Members *m, BH__Message *msg, unsigned trees);
static void forward_to_range_(BH__Members *m, const BH__Message *msg);
static void on_member_update_(BH__Members *m, const BH__Message *msg, uint64_t now_us);
static void set_state_(BH__Members *m, Entry_ *e, BH__MemberState state, uint64_t now_us);
static void resend_suspicion_(BH__Members *m, uint64_t node_id);
static void on_ack_(BH__Members *m, const BH__Message *msg, uint64_t now_us);
static void on_ping_req_(BH__Members *m, const BH__Message *msg, uint64_t now_us);
static bool is_in_parts_(uint64_t partitions, uint64_t node_id);
static void send_table_parts_(BH__Members *m, const char *address, uint64_t partitions);
static void send_missing_(BH__Members *m, const BH__Message *table);

/* Returns a member table that holds only `self`. `seed` seeds the random number generator. */
BH__Members *bh__members_new(BH__MembersPort *port, const BH__MemberInfo *self, uint32_t seed)
{
	BH__Members *m = g_new0(BH__Members, 1);
	m->port = port;
	m->self.info = *self;
	m->entries = g_ptr_array_new_with_free_func(g_free);
	m->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	m->ring_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	m->seeds = g_ptr_array_new_with_free_func(g_free);
	m->indirect_probes = g_array_new(FALSE, FALSE, sizeof(IndirectProbe_));
	m->rand = g_rand_new_with_seed(seed);
	m->version = 1;
	return m;
}

void bh__members_delete(BH__Members *m)
{
	g_hash_table_unref(m->by_id);
	g_ptr_array_unref(m->entries);
	g_array_unref(m->ring_ids);
	g_ptr_array_unref(m->seeds);
	g_array_unref(m->indirect_probes);
	g_rand_free(m->rand);
	g_free(m);
}

/* Adds an address to join by, from the settings or from the platform's VM list. Ignores this node's own
 * address and one that is listed already. */
void bh__members_add_seed(BH__Members *m, const char *peer_address)
{
	if (!strcmp(peer_address, m->self.info.peer_address))
		return;
	for (guint i = 0; i < m->seeds->len; i++)
		if (!strcmp(g_ptr_array_index(m->seeds, i), peer_address))
			return;
	g_ptr_array_add(m->seeds, g_strdup(peer_address));
}

/* Runs the periodic work: joins seeds, probes members, expires suspects and dead members, and compares member
 * tables. */
void bh__members_process_tick(BH__Members *m, uint64_t now_us)
{
	/* This process was paused: acknowledgements may have arrived but not been read yet. */
	if (now_us > m->last_tick_us + PROBE_PERIOD_US_)
		m->probe_sent_us = now_us;
	m->last_tick_us = now_us;
	if (!m->started_us)
		m->started_us = now_us;
	join_seeds_(m, now_us);
	check_probe_(m, now_us);
	expire_members_(m, now_us);
	sync_(m, now_us);
}

/* Compares member tables with a random live node: every 30 s, or every 250 ms while this node is starting up.
 * Each side sends the other what it lacks, only for the parts of the table whose hashes differ. Sending whole
 * tables for a single difference took more bandwidth than everything else among hundreds of nodes. */
static void sync_(BH__Members *m, uint64_t now_us)
{
	const BH__MemberInfo *other;

	if (now_us < m->next_sync_us || !bh__members_sample(m, &other, 1))
		return;
	m->next_sync_us = now_us + (is_starting_up_(m, now_us) ? STARTUP_SYNC_PERIOD_US_ : SYNC_PERIOD_US_);
	send_join_(m, other->peer_address);
}

/* Returns the index of the table part that a node belongs to, given by the highest bits of its id. */
static unsigned get_part_(uint64_t node_id)
{
	return (unsigned)(node_id / (UINT64_MAX / BH__MEMBER_PARTITIONS + 1));
}

/* Returns whether a node belongs to one of `parts`, a bit mask of table parts. */
static bool is_in_parts_(uint64_t partitions, uint64_t node_id)
{
	return partitions >> get_part_(node_id) & 1;
}

/* Computes a hash of each table part, over this node and all members that are confirmed and not dead. The
 * hash does not depend on the order of members. */
static void hash_parts_(const BH__Members *m, uint64_t hash[BH__MEMBER_PARTITIONS])
{
	memset(hash, 0, BH__MEMBER_PARTITIONS * sizeof *hash);
	hash[get_part_(m->self.info.node_id)] ^= hash_entry_(&m->self.info);
	for (guint i = 0; i < m->entries->len; i++) {
		const Entry_ *e = g_ptr_array_index(m->entries, i);
		if (e->info.state != BH__MEMBER_DEAD && !is_unconfirmed_(e))
			hash[get_part_(e->info.node_id)] ^= hash_entry_(&e->info);
	}
}

/* Returns a bit mask of the table parts whose hashes differ from those of another node. */
static uint64_t find_differing_parts_(const BH__Members *m, const uint64_t hash[BH__MEMBER_PARTITIONS])
{
	uint64_t own[BH__MEMBER_PARTITIONS];
	uint64_t partitions = 0;

	hash_parts_(m, own);
	for (unsigned i = 0; i < BH__MEMBER_PARTITIONS; i++)
		if (own[i] != hash[i])
			partitions |= (uint64_t)1 << i;
	return partitions;
}

/* Returns a hash of the fields that both tables must agree on: identity, refutation, state and leaving. */
static uint64_t hash_entry_(const BH__MemberInfo *info)
{
	uint64_t status = ((uint64_t)info->refutation << 2 | info->state) << 1 | info->leaving;

	return bh__hash_pair(bh__hash_pair(info->node_id, info->boot_id), status);
}

/* Sends a join to seeds that are not the address of a live member, so that the two sides of a healed network
 * partition find each other again. The first call considers all seeds, each later call one random seed. */
static void join_seeds_(BH__Members *m, uint64_t now_us)
{
	bool first = !m->next_join_us;
	guint at;

	if (!m->seeds->len || now_us < m->next_join_us)
		return;
	m->next_join_us = now_us + (m->entries->len ? JOIN_RETRY_US_ : FIRST_JOIN_RETRY_US_);
	at = (guint)g_rand_int_range(m->rand, 0, (gint32)m->seeds->len);
	for (guint i = 0; i < (first ? m->seeds->len : 1); i++) {
		const char *seed = g_ptr_array_index(m->seeds, (at + i) % m->seeds->len);
		if (!is_member_address_(m, seed))
			send_join_(m, seed);
	}
}

/* Returns whether a confirmed live member has this peer address. */
static bool is_member_address_(const BH__Members *m, const char *address)
{
	for (guint i = 0; i < m->entries->len; i++) {
		const Entry_ *e = g_ptr_array_index(m->entries, i);
		if (e->info.state == BH__MEMBER_ALIVE && !is_unconfirmed_(e) &&
			!strcmp(e->info.peer_address, address))
			return true;
	}
	return false;
}

/* Sends this node's record and part hashes; the receiver answers with the parts of its table that differ. */
static void send_join_(BH__Members *m, const char *address)
{
	BH__Message msg = {.type = BH__MESSAGE_JOIN};

	msg.as.join.self = m->self.info;
	hash_parts_(m, msg.as.join.partition_hash);
	send_(m, address, &msg);
}

/* Returns whether no message from or about the current incarnation of the node has been received yet. */
static bool is_unconfirmed_(const Entry_ *e)
{
	return e->info.boot_id == 0;
}

/* Adds a member from a record on the platform as alive but unconfirmed, and sends it a join. Any update about
 * the node itself supersedes the record. When all nodes start at once, they thereby agree on the owner of a
 * duty before they have exchanged messages: without it, nine nodes chose up to four schedulers of one service
 * for 480 ms, and each of these granted the same engines. */
void bh__members_add_unconfirmed(BH__Members *m, const BH__MemberInfo *info, uint64_t now_us)
{
	Entry_ *e = g_hash_table_lookup(m->by_id, &info->node_id);

	if (e || info->node_id == m->self.info.node_id)
		return;
	e = g_new0(Entry_, 1);
	e->info = *info;
	e->info.boot_id = 0;
	e->info.state = BH__MEMBER_DEAD;
	add_(m, e);
	set_state_(m, e, BH__MEMBER_ALIVE, now_us);
	e->sends_left = 0; /* an unconfirmed record is not sent to other nodes */
	send_join_(m, e->info.peer_address);
}

/* Returns whether the member is unconfirmed and may still be starting, up to 300 ms after it was added. If
 * so, sends it another join. */
bool bh__members_await(BH__Members *m, uint64_t node_id, uint64_t now_us)
{
	const Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	if (!e || !is_unconfirmed_(e) || e->info.state != BH__MEMBER_ALIVE ||
		now_us >= e->state_since_us + UNCONFIRMED_MAX_WAIT_US_)
		return false;
	send_join_(m, e->info.peer_address);
	return true;
}

/* Sends a message with this node as the sender. */
static void send_(BH__Members *m, const char *address, BH__Message *msg)
{
	msg->from_node = m->self.info.node_id;
	msg->from_boot = m->self.info.boot_id;
	m->port->send(m->port, address, msg);
}

/* Requests indirect probes after 200 ms without an acknowledgement. At the end of the 500 ms period, suspects
 * the target if it is still unacknowledged, broadcasts that, and starts the next probe. */
static void check_probe_(BH__Members *m, uint64_t now_us)
{
	Entry_ *e = m->probe_node ? g_hash_table_lookup(m->by_id, &m->probe_node) : NULL;

	if (e && !m->indirect_requested && now_us >= m->probe_sent_us + DIRECT_PROBE_WAIT_US_) {
		m->indirect_requested = true;
		if (m->paths)
			bh__hall_paths_note_failed(m->paths, e->info.hall, e->info.node_id, now_us);
		request_indirect_probes_(m, e);
	}
	if (now_us < m->probe_sent_us + PROBE_PERIOD_US_)
		return;
	if (e && e->info.state == BH__MEMBER_ALIVE && !is_excused_(m, e)) {
		suspect_(m, e, now_us);
		broadcast_member_(m, &e->info, BH__MESSAGE_UPDATE_TREES);
		e->sends_left = SENDS_AFTER_BROADCAST_;
	}
	probe_next_(m, now_us);
}

/* Probes the ring neighbour and a finger in turn. With random targets, one node in twenty was probed by
 * nobody for 1.5 s. Its neighbour probes it every second, which detects an unresponsive node within 1.5 s. */
static void probe_next_(BH__Members *m, uint64_t now_us)
{
	Entry_ *e = m->probed_neighbour ? NULL : find_neighbour_(m);
	BH__Message msg;

	m->probed_neighbour = e != NULL;
	if (!e)
		e = find_next_finger_(m);
	m->probe_node = 0;
	m->probe_sent_us = now_us;
	if (!e)
		return;
	m->probe_node = e->info.node_id;
	m->probe_sequence = ++m->last_sequence;
	m->indirect_requested = false;
	fill_ping_(m, &msg, BH__MESSAGE_PING, m->probe_sequence);
	send_(m, e->info.peer_address, &msg);
}

/* Returns the live node with the next higher id on the ring, which wraps around; NULL: there is none. */
static Entry_ *find_neighbour_(const BH__Members *m)
{
	return find_first_from_(m, m->self.info.node_id, BH__MEMBER_ALIVE);
}

/* Returns the next of this node's fingers: in turn the node half of the ring ahead, a quarter ahead, and so
 * on down to the neighbour; NULL: all are dead. A node thus probes only a few others and keeps connections to
 * these rather than to all, while updates carried by probes still cross each half of the ring in one step. */
static Entry_ *find_next_finger_(BH__Members *m)
{
	const Entry_ *neighbour = find_first_from_(m, m->self.info.node_id, BH__MEMBER_SUSPECT);
	Entry_ *e =
		find_first_from_(m, m->self.info.node_id + (HALF_RING_ >> m->next_finger), BH__MEMBER_SUSPECT);

	m->next_finger = e == neighbour || m->next_finger + 1 >= RING_BITS_ ? 0 : m->next_finger + 1;
	return e;
}

/* Returns the first node at or after an id on the ring whose state is no worse than `worst_state`; NULL:
 * there is none. */
static Entry_ *find_first_from_(const BH__Members *m, uint64_t node_id, BH__MemberState worst_state)
{
	guint at = find_ring_index_(m, node_id);

	for (guint i = 0; i < m->ring_ids->len; i++) {
		uint64_t id = g_array_index(m->ring_ids, uint64_t, (at + i) % m->ring_ids->len);
		Entry_ *e = g_hash_table_lookup(m->by_id, &id);
		if (e->info.state <= worst_state)
			return e;
	}
	return NULL;
}

/* Asks up to three random live members to probe the target. */
static void request_indirect_probes_(BH__Members *m, const Entry_ *target)
{
	const BH__MemberInfo *prober[INDIRECT_PROBERS_ + 1];
	unsigned n = bh__members_sample(m, prober, INDIRECT_PROBERS_ + 1);
	unsigned asked = 0;

	for (unsigned i = 0; i < n && asked < INDIRECT_PROBERS_; i++) {
		BH__Message msg = {.type = BH__MESSAGE_PING_REQ};
		if (prober[i]->node_id == target->info.node_id)
			continue;
		msg.as.ping_req.sequence = m->probe_sequence;
		msg.as.ping_req.target_node = target->info.node_id;
		send_(m, prober[i]->peer_address, &msg);
		asked++;
	}
}

/* Returns how many pings and acks carry a new update, a multiple of log2 of the number of nodes. */
static unsigned get_send_count_(const BH__Members *m)
{
	return SEND_FACTOR_ * (unsigned)g_bit_storage(m->entries->len + 1);
}

/* Fills in a ping or an ack, with the updates that it carries. */
static void fill_ping_(BH__Members *m, BH__Message *msg, BH__MessageType type, uint64_t sequence)
{
	Entry_ *updates[BH__MESSAGE_UPDATES_MAX];

	memset(msg, 0, sizeof *msg);
	msg->type = type;
	msg->as.ping.sequence = sequence;
	msg->as.ping.self = m->self.info;
	msg->as.ping.quarantine_hash = m->quarantine_hash;
	msg->as.ping.update_count = (uint8_t)select_updates_(m, updates);
	for (unsigned i = 0; i < msg->as.ping.update_count; i++) {
		updates[i]->sends_left--;
		msg->as.ping.update[i] = updates[i]->info;
	}
}

/* Selects the records with the most sends left, up to what a message holds, and returns their number. It
 * visits each record once, however many have sends left. */
static unsigned select_updates_(const BH__Members *m, Entry_ *out[BH__MESSAGE_UPDATES_MAX])
{
	unsigned count = 0;

	for (guint i = 0; i < m->entries->len; i++) {
		Entry_ *e = g_ptr_array_index(m->entries, i);
		unsigned at;
		if (!e->sends_left ||
			(count == BH__MESSAGE_UPDATES_MAX && e->sends_left <= out[count - 1]->sends_left))
			continue;
		at = count < BH__MESSAGE_UPDATES_MAX ? count++ : count - 1;
		for (; at > 0 && out[at - 1]->sends_left < e->sends_left; at--)
			out[at] = out[at - 1];
		out[at] = e;
	}
	return count;
}

/* Declares members dead that have been suspected for 2 s, pings those that this node itself suspects, and
 * removes members that have been dead for an hour. */
static void expire_members_(BH__Members *m, uint64_t now_us)
{
	for (guint i = m->entries->len; i-- > 0;) {
		Entry_ *e = g_ptr_array_index(m->entries, i);
		if (e->info.state == BH__MEMBER_SUSPECT && is_excused_(m, e))
			e->state_since_us = now_us; /* it has the whole time once the path is back */
		if (e->info.state == BH__MEMBER_SUSPECT && now_us >= e->state_since_us + SUSPICION_US_) {
			set_state_(m, e, BH__MEMBER_DEAD, now_us);
			e->sends_left = SENDS_AFTER_BROADCAST_; /* other nodes declare it dead by their own time-out */
		}
		else if (e->info.state == BH__MEMBER_SUSPECT && now_us >= e->next_suspect_ping_us) {
			ping_suspect_(m, e, now_us);
		}
		else if (e->info.state == BH__MEMBER_DEAD && now_us >= e->state_since_us + FORGET_DEAD_US_) {
			remove_(m, e);
		}
	}
}

/* Suspects a member on this node's own evidence and pings it. */
static void suspect_(BH__Members *m, Entry_ *e, uint64_t now_us)
{
	set_state_(m, e, BH__MEMBER_SUSPECT, now_us);
	ping_suspect_(m, e, now_us);
}

/* Broadcasts a member's record, for example of one that has not acknowledged a probe. Only one or two nodes
 * detect that themselves, and an update carried by probes alone has not reached one node in eighty after 3 s.
 * Each node sends to only a few others, and the message is not acknowledged: where one node sent to 984, it
 * was late to answer probes meanwhile, and other nodes suspected it and broadcast that in turn. */
static void broadcast_member_(BH__Members *m, const BH__MemberInfo *info, unsigned trees)
{
	BH__Message update = {.type = BH__MESSAGE_MEMBER_UPDATE};

	update.as.member_update.member = *info;
	broadcast_on_trees_(m, &update, trees);
}

/* Sends a message to all live nodes down the ring trees. The message must be of a type that holds a ring
 * range, which this function fills in. */
void bh__members_broadcast(BH__Members *m, BH__Message *msg)
{
	broadcast_on_trees_(m, msg, BH__MESSAGE_UPDATE_TREES);
}

/* Sends a message to all live nodes, once down each of the first `trees` broadcast trees. */
static void broadcast_on_trees_(BH__Members *m, BH__Message *msg, unsigned trees)
{
	BH__RingRange all = bh__ring_all_except(m->self.info.node_id);

	for (unsigned tree = 0; tree < trees; tree++) {
		msg->as.range = (BH__MessageRange){.first = all.first, .last = all.last, .tree_index = (uint8_t)tree};
		forward_to_range_(m, msg);
	}
}

/* Returns whether a node is alive and can be sent to; the callback of BH__Ring. */
static bool is_alive_(const void *members, uint64_t node_id)
{
	const BH__Members *m = members;
	const Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	return e->info.state == BH__MEMBER_ALIVE && bh__members_is_connected(m, &e->info);
}

/* Returns whether the silence of a node is put down to the path to its hall: it is not usable here, but not
 * declared dead, which other halls would learn and its own would after the cut. */
static bool is_excused_(const BH__Members *m, const Entry_ *e)
{
	return !bh__members_is_connected(m, &e->info);
}

/* Sends a message to one node of each subrange of the message's ring range, with that subrange as its new
 * range. */
static void forward_to_range_(BH__Members *m, const BH__Message *msg)
{
	BH__RingRange targets = {.first = msg->as.range.first, .last = msg->as.range.last};
	BH__RingChild child[BH__RING_FANOUT];
	BH__Ring ring = {.id = (const uint64_t *)(const void *)m->ring_ids->data,
					 .count = m->ring_ids->len,
					 .is_alive = is_alive_,
					 .ctx = m};
	unsigned count = bh__ring_split(&ring, targets, msg->as.range.tree_index, child);

	for (unsigned i = 0; i < count; i++) {
		const Entry_ *e = g_hash_table_lookup(m->by_id, &ring.id[child[i].node_index]);
		BH__Message out = *msg;
		out.as.range.first = child[i].subrange.first;
		out.as.range.last = child[i].subrange.last;
		send_(m, e->info.peer_address, &out);
	}
}

/* Forwards a received broadcast to the nodes of the ring range that its sender assigned to this node. */
void bh__members_forward(BH__Members *m, const BH__Message *msg)
{
	forward_to_range_(m, msg);
}

/* Merges a broadcast member record and forwards it. */
static void on_member_update_(BH__Members *m, const BH__Message *msg, uint64_t now_us)
{
	merge_(m, &msg->as.member_update.member, SENDS_AFTER_BROADCAST_, now_us);
	forward_to_range_(m, msg);
}

/* Pings a suspect with its own suspected record, so that a live node refutes the suspicion. The same update
 * by way of other nodes may arrive too late when many updates are queued. */
static void ping_suspect_(BH__Members *m, Entry_ *e, uint64_t now_us)
{
	BH__Message msg;

	e->next_suspect_ping_us = now_us + PROBE_PERIOD_US_;
	/* One more than other records have, so that this ping carries it. */
	e->sends_left = get_send_count_(m) + 1;
	fill_ping_(m, &msg, BH__MESSAGE_PING, ++m->last_sequence);
	send_(m, e->info.peer_address, &msg);
}

/* Sets a member's state, queues its record for sending, and reports the change to the port. */
static void set_state_(BH__Members *m, Entry_ *e, BH__MemberState state, uint64_t now_us)
{
	BH__MemberState old = e->info.state;

	e->info.state = state;
	e->state_since_us = now_us;
	e->next_suspect_ping_us = UINT64_MAX;
	e->sends_left = get_send_count_(m);
	m->version++;
	m->port->changed(m->port, &e->info, old);
}

/* Returns whether record `a` of a node is more recent than record `b` of the same node. */
static bool supersedes_(const BH__MemberInfo *a, const BH__MemberInfo *b)
{
	if (a->boot_id != b->boot_id)
		return a->boot_id > b->boot_id;
	if (a->refutation != b->refutation)
		return a->refutation > b->refutation;
	return a->state > b->state;
}

/* Adds an entry and takes ownership of it. */
static void add_(BH__Members *m, Entry_ *e)
{
	g_ptr_array_add(m->entries, e);
	g_hash_table_insert(m->by_id, &e->info.node_id, e);
	g_array_insert_val(m->ring_ids, find_ring_index_(m, e->info.node_id), e->info.node_id);
}

/* Returns the index in `ring_ids` of the first id that is not below `node_id`. */
static guint find_ring_index_(const BH__Members *m, uint64_t node_id)
{
	return bh__ring_find((const uint64_t *)(const void *)m->ring_ids->data, m->ring_ids->len, node_id);
}

/* Removes an entry and frees it. */
static void remove_(BH__Members *m, Entry_ *e)
{
	g_array_remove_index(m->ring_ids, find_ring_index_(m, e->info.node_id));
	g_hash_table_remove(m->by_id, &e->info.node_id);
	g_ptr_array_remove(m->entries, e);
}

/* Merges a received record into the table. If the record changes anything, the next `sends` pings and acks
 * carry it. Returns whether it does. */
static bool merge_(BH__Members *m, const BH__MemberInfo *info, unsigned sends, uint64_t now_us)
{
	Entry_ *e = g_hash_table_lookup(m->by_id, &info->node_id);
	BH__MemberInfo old;

	if (info->node_id == m->self.info.node_id) {
		merge_self_(m, info);
		return false;
	}
	if (!e) {
		if (info->state == BH__MEMBER_DEAD)
			return false;
		e = g_new0(Entry_, 1);
		e->info = *info;
		e->info.state = BH__MEMBER_DEAD;
		add_(m, e);
		set_state_(m, e, info->state, now_us);
		e->sends_left = sends;
		return true;
	}
	if (!supersedes_(info, &e->info)) {
		if (info->boot_id == e->info.boot_id && info->refutation == e->info.refutation) {
			e->info.load = info->load;
			e->info.config_revision = MAX(e->info.config_revision, info->config_revision);
		}
		return false;
	}
	old = e->info;
	e->info = *info;
	e->info.state = old.state;
	if (old.state != info->state || old.boot_id != info->boot_id || old.leaving != info->leaving)
		set_state_(m, e, info->state, now_us);
	e->sends_left = sends;
	return true;
}

/* Refutes a suspicion of this node, and raises its boot id above any that the node has had: the clock of an
 * earlier incarnation may have been ahead. Idempotency stamps with the former boot id then no longer match,
 * which is safe. */
static void merge_self_(BH__Members *m, const BH__MemberInfo *info)
{
	BH__MemberInfo *self = &m->self.info;

	if (info->boot_id > self->boot_id) {
		self->boot_id = info->boot_id + 1;
		self->refutation = 0;
	}
	else if (info->boot_id == self->boot_id && info->state != BH__MEMBER_ALIVE &&
			 info->refutation >= self->refutation) {
		self->refutation = info->refutation + 1;
		bh__members_announce(m); /* before the duties of this live node move to others */
	}
}

/* Processes a received message. Returns false if its type does not belong to membership. */
bool bh__members_process_message(BH__Members *m, const BH__Message *msg, uint64_t now_us)
{
	BH__Message answer;

	switch (msg->type) {
	case BH__MESSAGE_PING:
	case BH__MESSAGE_ACK:
		merge_(m, &msg->as.ping.self, get_send_count_(m), now_us);
		for (unsigned i = 0; i < msg->as.ping.update_count; i++)
			merge_(m, &msg->as.ping.update[i], get_send_count_(m), now_us);
		if (msg->type == BH__MESSAGE_ACK) {
			on_ack_(m, msg, now_us);
			return true;
		}
		resend_suspicion_(m, msg->from_node);
		fill_ping_(m, &answer, BH__MESSAGE_ACK, msg->as.ping.sequence);
		send_(m, msg->as.ping.self.peer_address, &answer);
		return true;
	case BH__MESSAGE_PING_REQ:
		on_ping_req_(m, msg, now_us);
		return true;
	case BH__MESSAGE_JOIN:
		on_join_(m, msg, now_us);
		return true;
	case BH__MESSAGE_MEMBERS:
		if (msg->as.members.answers_join)
			send_missing_(m, msg);
		for (uint32_t i = 0; i < msg->as.members.count; i++)
			merge_(m, &msg->as.members.member[i], get_send_count_(m), now_us);
		return true;
	case BH__MESSAGE_MEMBER_UPDATE:
		on_member_update_(m, msg, now_us);
		return true;
	default:
		return false;
	}
}

/* Merges the record of a node that joins or compares tables, and answers with the table parts that differ. A
 * node that is not itself starting up broadcasts the record of a newly started one: carried by probes alone
 * it takes seconds to reach hundreds of nodes. Several seeds do so, on one tree each. When all nodes start at
 * once, none of them broadcasts. */
static void on_join_(BH__Members *m, const BH__Message *msg, uint64_t now_us)
{
	const BH__MemberInfo *info = &msg->as.join.self;
	bool broadcast = !is_starting_up_(m, now_us);

	if (merge_(m, info, broadcast ? SENDS_AFTER_BROADCAST_ : get_send_count_(m), now_us) && broadcast)
		broadcast_member_(m, info, 1);
	send_table_parts_(m, info->peer_address, find_differing_parts_(m, msg->as.join.partition_hash));
}

/* Returns whether this node's first tick was less than 4 s ago, or has not happened yet. */
static bool is_starting_up_(const BH__Members *m, uint64_t now_us)
{
	return !m->started_us || now_us < m->started_us + STARTUP_US_;
}

/* Queues the record of a suspected or dead node that has just sent a ping, so that the ack carries it and the
 * node refutes it. */
static void resend_suspicion_(BH__Members *m, uint64_t node_id)
{
	Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	/* One more than other records have, so that the next message carries this one. */
	if (e && e->info.state != BH__MEMBER_ALIVE)
		e->sends_left = get_send_count_(m) + 1;
}

/* Ends this node's own probe, or sends an ack to the node that requested the indirect probe. */
static void on_ack_(BH__Members *m, const BH__Message *msg, uint64_t now_us)
{
	uint64_t sequence = msg->as.ping.sequence;

	/* An answer by way of another node is no round trip. */
	if (sequence == m->probe_sequence && m->paths && msg->from_node == m->probe_node)
		bh__hall_paths_note_reached(m->paths, msg->as.ping.self.hall, now_us);
	if (sequence == m->probe_sequence)
		m->probe_node = 0;
	for (guint i = 0; i < m->indirect_probes->len; i++) {
		const IndirectProbe_ *probe = &g_array_index(m->indirect_probes, IndirectProbe_, i);
		const Entry_ *requester = g_hash_table_lookup(m->by_id, &probe->requester_node);
		BH__Message answer;
		if (probe->sequence != sequence)
			continue;
		if (requester) {
			fill_ping_(m, &answer, BH__MESSAGE_ACK, probe->requester_sequence);
			send_(m, requester->info.peer_address, &answer);
		}
		g_array_remove_index_fast(m->indirect_probes, i);
		return;
	}
}

/* Probes a target on behalf of the sender, and drops expired indirect probes. Ignores an unknown target. */
static void on_ping_req_(BH__Members *m, const BH__Message *msg, uint64_t now_us)
{
	const Entry_ *target = g_hash_table_lookup(m->by_id, &msg->as.ping_req.target_node);
	IndirectProbe_ probe = {.sequence = ++m->last_sequence,
							.requester_node = msg->from_node,
							.requester_sequence = msg->as.ping_req.sequence,
							.expires_us = now_us + PROBE_PERIOD_US_};
	BH__Message ping;

	for (guint i = m->indirect_probes->len; i-- > 0;)
		if (now_us >= g_array_index(m->indirect_probes, IndirectProbe_, i).expires_us)
			g_array_remove_index_fast(m->indirect_probes, i);
	if (!target)
		return;
	g_array_append_val(m->indirect_probes, probe);
	fill_ping_(m, &ping, BH__MESSAGE_PING, probe.sequence);
	send_(m, target->info.peer_address, &ping);
}

/* Sends this node's own record and all confirmed members of `parts`; nothing if `parts` is 0. */
static void send_table_parts_(BH__Members *m, const char *address, uint64_t partitions)
{
	BH__Message msg = {.type = BH__MESSAGE_MEMBERS};

	if (!partitions)
		return;
	msg.as.members.answers_join = true;
	msg.as.members.partitions = partitions;
	msg.as.members.member = g_new(BH__MemberInfo, m->entries->len + 1);
	msg.as.members.member[msg.as.members.count++] = m->self.info;
	for (guint i = 0; i < m->entries->len; i++) {
		const Entry_ *e = g_ptr_array_index(m->entries, i);
		if (!is_unconfirmed_(e) && is_in_parts_(partitions, e->info.node_id))
			msg.as.members.member[msg.as.members.count++] = e->info;
	}
	send_(m, address, &msg);
	g_free(msg.as.members.member);
}

/* Sends the records that are newer here than in a received table or missing from it, for the parts that the
 * table covers. Dead members that the table lacks are left out. */
static void send_missing_(BH__Members *m, const BH__Message *table)
{
	BH__Message msg = {.type = BH__MESSAGE_MEMBERS};
	GHashTable *received = g_hash_table_new(g_int64_hash, g_int64_equal);
	const Entry_ *sender = g_hash_table_lookup(m->by_id, &table->from_node);

	for (uint32_t i = 0; i < table->as.members.count; i++)
		g_hash_table_insert(received, &table->as.members.member[i].node_id, &table->as.members.member[i]);
	msg.as.members.member = g_new(BH__MemberInfo, m->entries->len + 1);
	for (guint i = 0; i < m->entries->len; i++) {
		const Entry_ *e = g_ptr_array_index(m->entries, i);
		const BH__MemberInfo *theirs = g_hash_table_lookup(received, &e->info.node_id);
		if (is_unconfirmed_(e) || e == sender ||
			!is_in_parts_(table->as.members.partitions, e->info.node_id) ||
			(theirs && !supersedes_(&e->info, theirs)))
			continue;
		if (theirs || e->info.state != BH__MEMBER_DEAD)
			msg.as.members.member[msg.as.members.count++] = e->info;
	}
	if (sender && msg.as.members.count)
		send_(m, sender->info.peer_address, &msg);
	g_free(msg.as.members.member);
	g_hash_table_unref(received);
}

/* Suspects a member whose connection was refused or broke, without waiting for a probe. An unconfirmed member
 * may still be starting and is not suspected within 300 ms of being added. */
void bh__members_process_unreachable(BH__Members *m, uint64_t node_id, uint64_t now_us)
{
	Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	if (!e || e->info.state != BH__MEMBER_ALIVE || is_excused_(m, e))
		return;
	if (!is_unconfirmed_(e) || now_us >= e->state_since_us + UNCONFIRMED_MAX_WAIT_US_)
		suspect_(m, e, now_us);
}

/* Sets the fields of this node's own record. `leaving` cannot be reset. */
void bh__members_set_self(BH__Members *m, bool leaving, uint64_t config_revision, uint32_t load)
{
	BH__MemberInfo *self = &m->self.info;

	if (leaving && !self->leaving) {
		self->leaving = true;
		self->refutation++;
		m->version++;
	}
	self->config_revision = config_revision;
	self->load = load;
}

/* Sets the belief about paths between halls, to which probes contribute and by which nodes are chosen; it
 * must outlive `m`. */
void bh__members_set_paths(BH__Members *m, BH__HallPaths *paths)
{
	m->paths = paths;
	m->version++;
}

const BH__HallPaths *bh__members_get_paths(const BH__Members *m)
{
	return m->paths;
}

/* Notes that the belief about paths has changed, so that other nodes may be chosen. */
void bh__members_process_paths(BH__Members *m)
{
	m->version++;
}

/* Sets the hash of this node's quarantine entries, which pings and acks carry. Nodes whose hashes differ
 * exchange their entries. */
void bh__members_set_quarantine(BH__Members *m, uint64_t hash)
{
	m->quarantine_hash = hash;
}

/* Broadcasts this node's own record to all live nodes. */
void bh__members_announce(BH__Members *m)
{
	broadcast_member_(m, &m->self.info, BH__MESSAGE_UPDATE_TREES);
}

const BH__MemberInfo *bh__members_get_self(const BH__Members *m)
{
	return &m->self.info;
}

/* Removes a node that is known to be gone for good. Does nothing unless the node is dead. */
void bh__members_forget(BH__Members *m, uint64_t node_id)
{
	Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	if (e && e->info.state == BH__MEMBER_DEAD)
		remove_(m, e);
}

/* Returns the record of a node, which may be this one; NULL: the node is unknown. */
const BH__MemberInfo *bh__members_find(const BH__Members *m, uint64_t node_id)
{
	const Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	if (node_id == m->self.info.node_id)
		return &m->self.info;
	return e ? &e->info : NULL;
}

/* Returns the number of known nodes, this one included. */
unsigned bh__members_get_count(const BH__Members *m)
{
	return m->entries->len + 1;
}

/* Returns a node's record by index; index 0 is this node. */
const BH__MemberInfo *bh__members_get(const BH__Members *m, unsigned index)
{
	return index == 0 ? &m->self.info : &((const Entry_ *)g_ptr_array_index(m->entries, index - 1))->info;
}

/* Returns a number that grows whenever bh__members_pick() may return a different node. */
uint64_t bh__members_get_version(const BH__Members *m)
{
	return m->version;
}

/* Writes up to `max` distinct live nodes to `out`, from a random position of the table on; returns their
 * number. */
unsigned bh__members_sample(BH__Members *m, const BH__MemberInfo **out, unsigned max)
{
	unsigned n = 0;
	guint start = m->entries->len ? (guint)g_rand_int_range(m->rand, 0, (gint32)m->entries->len) : 0;

	for (guint i = 0; i < m->entries->len && n < max; i++) {
		const Entry_ *e = g_ptr_array_index(m->entries, (start + i) % m->entries->len);
		if (e->info.state == BH__MEMBER_ALIVE)
			out[n++] = &e->info;
	}
	return n;
}

/* SPDX-License-Identifier: BSD-3-Clause */
/* SWIM membership. Every period one member is probed; without an answer three others are asked to probe it;
 * without any answer it is suspected, and dead some seconds later unless it refutes. News rides on probes
 * and answers, each item a number of times that grows with the logarithm of the number of nodes; what has to
 * be known at once goes to all nodes along arcs of their ring (ring.h) and rides a few times for those that
 * this did not reach. */
#include "bayhoist/members.h"

#include <string.h>
#include "bayhoist/hash.h"
#include "ring.h"

#define PERIOD_US_ (500 * BH__MS_US)
#define DIRECT_WAIT_US_ (200 * BH__MS_US)
#define SUSPICION_US_ (2 * BH__SECOND_US)
/* A cut between regions lasts about an hour; account rates must reckon with the nodes behind it. */
#define FORGET_DEAD_US_ (3600 * BH__SECOND_US)
#define JOIN_RETRY_US_ (1 * BH__SECOND_US)
#define FIRST_JOIN_RETRY_US_ (100 * BH__MS_US) /* while no other node is known */
/* A node that is presumed to live is waited for so long: where all nodes start at once, the users' do so
 * within 300 ms of each other. */
#define PRESUMED_PATIENCE_US_ (300 * BH__MS_US)
#define SYNC_PERIOD_US_ (30 * BH__SECOND_US)
/* A node that has just started compares tables often: where all start at once, news that rides on probes
 * takes a minute to reach everyone (80 nodes, 8 records a message). */
#define YOUNG_US_ (4 * BH__SECOND_US)
#define YOUNG_SYNC_PERIOD_US_ (250 * BH__MS_US)
#define HELPERS_ 3
#define HALF_RING_ ((uint64_t)1 << 63)
#define RING_BITS_ 64
#define SPREAD_FACTOR_ 3 /* times log2(n) that an update is sent on */
/* Times that a record still rides which went to all: the few that a silent node has kept it from are met by
 * several others within a period. */
#define SPREAD_TOLD_ 4

typedef struct {
	BH__MemberInfo info;
	uint64_t since_us;    /* of its state */
	uint64_t next_ask_us; /* when this node asks a suspect of its own again whether it lives */
	unsigned to_send;     /* times that its record is still to ride */
} Entry_;

typedef struct {
	uint64_t sequence;
	uint64_t asker_node;
	uint64_t asker_sequence;
	uint64_t expires_us;
} Relay_;

struct BH__Members {
	BH__MembersPort *port;
	Entry_ self;
	GPtrArray *entries; /* Entry_ *, all but self */
	GHashTable *by_id;
	GArray *ring_ids; /* uint64_t: of all entries, in rising order */
	GPtrArray *seeds;
	GArray *relays; /* Relay_: probes made for others */
	GRand *rand;
	uint64_t version; /* grows with each change that matters to picks */
	uint64_t quarantine_hash;
	uint64_t next_sequence;
	unsigned next_step;    /* of the ring, halved so many times, to the node that is probed next */
	bool probes_neighbour; /* the last probe was of the neighbour */
	uint64_t probe_node;
	uint64_t probe_sequence;
	uint64_t probe_sent_us;
	bool probe_helped;
	uint64_t next_join_us;
	uint64_t next_sync_us;
	uint64_t started_us;
	uint64_t last_tick_us;
};

static void send_(BH__Members *m, const char *address, BH__Message *msg);
static void fill_ping_(BH__Members *m, BH__Message *msg, BH__MessageType type, uint64_t sequence);
static unsigned newest_news_(const BH__Members *m, Entry_ *out[BH__MESSAGE_UPDATES_MAX]);
static unsigned spread_(const BH__Members *m);
static void sync_(BH__Members *m, uint64_t now_us);
static unsigned part_(uint64_t node_id);
static void hash_parts_(const BH__Members *m, uint64_t hash[BH__MEMBER_PARTITIONS]);
static uint64_t compare_parts_(const BH__Members *m, const uint64_t hash[BH__MEMBER_PARTITIONS]);
static uint64_t hash_entry_(const BH__MemberInfo *info);
static void join_seeds_(BH__Members *m, uint64_t now_us);
static void join_(BH__Members *m, const char *address);
static bool covers_(const BH__Members *m, const char *address);
static bool is_presumed_(const Entry_ *e);
static void probe_next_(BH__Members *m, uint64_t now_us);
static Entry_ *next_neighbour_(const BH__Members *m);
static Entry_ *next_ahead_(BH__Members *m);
static Entry_ *find_from_(const BH__Members *m, uint64_t node_id, BH__MemberState worst);
static void check_probe_(BH__Members *m, uint64_t now_us);
static void ask_helpers_(BH__Members *m, const Entry_ *target);
static void age_(BH__Members *m, uint64_t now_us);
static void add_(BH__Members *m, Entry_ *e);
static guint find_place_(const BH__Members *m, uint64_t node_id);
static void remove_(BH__Members *m, Entry_ *e);
static bool learn_(BH__Members *m, const BH__MemberInfo *info, unsigned rides, uint64_t now_us);
static void on_join_(BH__Members *m, const BH__Message *msg, uint64_t now_us);
static bool is_young_(const BH__Members *m, uint64_t now_us);
static void learn_self_(BH__Members *m, const BH__MemberInfo *info);
static bool supersedes_(const BH__MemberInfo *a, const BH__MemberInfo *b);
static void suspect_(BH__Members *m, Entry_ *e, uint64_t now_us);
static void ask_suspect_(BH__Members *m, Entry_ *e, uint64_t now_us);
static void tell_all_(BH__Members *m, const BH__MemberInfo *info, unsigned ways);
static bool may_tell_(const void *members, uint64_t node_id);
static void tell_ways_(BH__Members *m, BH__Message *msg, unsigned ways);
static void tell_arc_(BH__Members *m, const BH__Message *msg);
static void on_news_(BH__Members *m, const BH__Message *msg, uint64_t now_us);
static void set_state_(BH__Members *m, Entry_ *e, BH__MemberState state, uint64_t now_us);
static void tell_of_suspicion_(BH__Members *m, uint64_t node_id);
static void on_ack_(BH__Members *m, const BH__Message *msg);
static void on_ping_req_(BH__Members *m, const BH__Message *msg, uint64_t now_us);
static bool is_in_parts_(uint64_t partitions, uint64_t node_id);
static void send_members_(BH__Members *m, const char *address, uint64_t partitions);
static void send_missing_(BH__Members *m, const BH__Message *table);

/* Returns a membership of one: `self`. `seed` sets the order of probes. */
BH__Members *bh__members_new(BH__MembersPort *port, const BH__MemberInfo *self, uint32_t seed)
{
	BH__Members *m = g_new0(BH__Members, 1);
	m->port = port;
	m->self.info = *self;
	m->entries = g_ptr_array_new_with_free_func(g_free);
	m->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	m->ring_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	m->seeds = g_ptr_array_new_with_free_func(g_free);
	m->relays = g_array_new(FALSE, FALSE, sizeof(Relay_));
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
	g_array_unref(m->relays);
	g_rand_free(m->rand);
	g_free(m);
}

/* Adds an address to join by: from the settings or the platform's VM list. */
void bh__members_add_seed(BH__Members *m, const char *peer_address)
{
	if (!strcmp(peer_address, m->self.info.peer_address))
		return;
	for (guint i = 0; i < m->seeds->len; i++)
		if (!strcmp(g_ptr_array_index(m->seeds, i), peer_address))
			return;
	g_ptr_array_add(m->seeds, g_strdup(peer_address));
}

void bh__members_process_tick(BH__Members *m, uint64_t now_us)
{
	if (now_us >
		m->last_tick_us + PERIOD_US_) /* this process was paused: the answers may be waiting unread */
		m->probe_sent_us = now_us;
	m->last_tick_us = now_us;
	if (!m->started_us)
		m->started_us = now_us;
	join_seeds_(m, now_us);
	check_probe_(m, now_us);
	age_(m, now_us);
	sync_(m, now_us);
}

/* Compares tables with any live node now and then, a young node often: each tells the other what it lacks of
 * those parts that differ. Whole tables for one difference took more than all else among hundreds of nodes.
 */
static void sync_(BH__Members *m, uint64_t now_us)
{
	const BH__MemberInfo *other;

	if (now_us < m->next_sync_us || !bh__members_sample(m, &other, 1))
		return;
	m->next_sync_us = now_us + (is_young_(m, now_us) ? YOUNG_SYNC_PERIOD_US_ : SYNC_PERIOD_US_);
	join_(m, other->peer_address);
}

static unsigned part_(uint64_t node_id)
{
	return (unsigned)(node_id / (UINT64_MAX / BH__MEMBER_PARTITIONS + 1));
}

static bool is_in_parts_(uint64_t partitions, uint64_t node_id)
{
	return partitions >> part_(node_id) & 1;
}

/* Fills in a hash of what is known of the live members of each part, this node included; the order of members
 * does not matter. */
static void hash_parts_(const BH__Members *m, uint64_t hash[BH__MEMBER_PARTITIONS])
{
	memset(hash, 0, BH__MEMBER_PARTITIONS * sizeof *hash);
	hash[part_(m->self.info.node_id)] ^= hash_entry_(&m->self.info);
	for (guint i = 0; i < m->entries->len; i++) {
		const Entry_ *e = g_ptr_array_index(m->entries, i);
		if (e->info.state != BH__MEMBER_DEAD && !is_presumed_(e))
			hash[part_(e->info.node_id)] ^= hash_entry_(&e->info);
	}
}

/* Returns the parts of which another node knows something else. */
static uint64_t compare_parts_(const BH__Members *m, const uint64_t hash[BH__MEMBER_PARTITIONS])
{
	uint64_t own[BH__MEMBER_PARTITIONS];
	uint64_t partitions = 0;

	hash_parts_(m, own);
	for (unsigned i = 0; i < BH__MEMBER_PARTITIONS; i++)
		if (own[i] != hash[i])
			partitions |= (uint64_t)1 << i;
	return partitions;
}

static uint64_t hash_entry_(const BH__MemberInfo *info)
{
	uint64_t said = ((uint64_t)info->refutation << 2 | info->state) << 1 | info->leaving;

	return bh__hash_pair(bh__hash_pair(info->node_id, info->boot_id), said);
}

/* Asks seeds that no member covers, so that two halves of a cut find each other again: all of them at the
 * start, then one at a time. */
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
		if (!covers_(m, seed))
			join_(m, seed);
	}
}

/* Returns true if a live member has this address. */
static bool covers_(const BH__Members *m, const char *address)
{
	for (guint i = 0; i < m->entries->len; i++) {
		const Entry_ *e = g_ptr_array_index(m->entries, i);
		if (e->info.state == BH__MEMBER_ALIVE && !is_presumed_(e) && !strcmp(e->info.peer_address, address))
			return true;
	}
	return false;
}

/* Tells a node of this one, and asks it for the parts of its table that differ. */
static void join_(BH__Members *m, const char *address)
{
	BH__Message msg = {.type = BH__MESSAGE_JOIN};

	msg.as.join.self = m->self.info;
	hash_parts_(m, msg.as.join.partition_hash);
	send_(m, address, &msg);
}

/* Returns true if nothing was heard yet of the node's present life. */
static bool is_presumed_(const Entry_ *e)
{
	return e->info.boot_id == 0;
}

/* Takes a node for alive that a record on the platform names, and greets it. What is heard of the node itself
 * supersedes that. Where all nodes start at once they so agree on who does a duty before they have met each
 * other: without it nine nodes named up to four schedulers of one service for 480 ms, and each gave out the
 * same engines. */
void bh__members_presume(BH__Members *m, const BH__MemberInfo *info, uint64_t now_us)
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
	e->to_send = 0; /* it is no news */
	join_(m, e->info.peer_address);
}

/* Returns true if the node is presumed to live, was not heard yet, and may still be starting; it is greeted
 * again. */
bool bh__members_await(BH__Members *m, uint64_t node_id, uint64_t now_us)
{
	const Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	if (!e || !is_presumed_(e) || e->info.state != BH__MEMBER_ALIVE ||
		now_us >= e->since_us + PRESUMED_PATIENCE_US_)
		return false;
	join_(m, e->info.peer_address);
	return true;
}

static void send_(BH__Members *m, const char *address, BH__Message *msg)
{
	msg->from_node = m->self.info.node_id;
	msg->from_boot = m->self.info.boot_id;
	m->port->send(m->port, address, msg);
}

static void check_probe_(BH__Members *m, uint64_t now_us)
{
	Entry_ *e = m->probe_node ? g_hash_table_lookup(m->by_id, &m->probe_node) : NULL;

	if (e && !m->probe_helped && now_us >= m->probe_sent_us + DIRECT_WAIT_US_) {
		m->probe_helped = true;
		ask_helpers_(m, e);
	}
	if (now_us < m->probe_sent_us + PERIOD_US_)
		return;
	if (e && e->info.state == BH__MEMBER_ALIVE) {
		suspect_(m, e, now_us);
		tell_all_(m, &e->info, BH__MESSAGE_UPDATE_TREES);
		e->to_send = SPREAD_TOLD_;
	}
	probe_next_(m, now_us);
}

/* Probes the neighbour and a node further ahead by turns. By chance one node in twenty was probed by nobody
 * for 1.5 s; its neighbour does so every second, so that one which goes silent is found in 1.5 s at most. */
static void probe_next_(BH__Members *m, uint64_t now_us)
{
	Entry_ *e = m->probes_neighbour ? NULL : next_neighbour_(m);
	BH__Message msg;

	m->probes_neighbour = e != NULL;
	if (!e)
		e = next_ahead_(m);
	m->probe_node = 0;
	m->probe_sent_us = now_us;
	if (!e)
		return;
	m->probe_node = e->info.node_id;
	m->probe_sequence = ++m->next_sequence;
	m->probe_helped = false;
	fill_ping_(m, &msg, BH__MESSAGE_PING, m->probe_sequence);
	send_(m, e->info.peer_address, &msg);
}

/* Returns the live node whose id follows this one's, the lowest id following the highest; NULL: there is
 * none.
 */
static Entry_ *next_neighbour_(const BH__Members *m)
{
	return find_from_(m, m->self.info.node_id, BH__MEMBER_ALIVE);
}

/* Returns by turns the node that lies ahead of this one by half of the ring, a quarter and so on, up to the
 * neighbour; NULL: all are dead. So a node probes a few others, and keeps connections to these and not to
 * all, and news on probes passes each half of the nodes in one step. */
static Entry_ *next_ahead_(BH__Members *m)
{
	const Entry_ *neighbour = find_from_(m, m->self.info.node_id, BH__MEMBER_SUSPECT);
	Entry_ *e = find_from_(m, m->self.info.node_id + (HALF_RING_ >> m->next_step), BH__MEMBER_SUSPECT);

	m->next_step = e == neighbour || m->next_step + 1 >= RING_BITS_ ? 0 : m->next_step + 1;
	return e;
}

/* Returns the first node from an id on, round the ring, whose state is no worse than one; NULL: there is
 * none. */
static Entry_ *find_from_(const BH__Members *m, uint64_t node_id, BH__MemberState worst)
{
	guint at = find_place_(m, node_id);

	for (guint i = 0; i < m->ring_ids->len; i++) {
		uint64_t id = g_array_index(m->ring_ids, uint64_t, (at + i) % m->ring_ids->len);
		Entry_ *e = g_hash_table_lookup(m->by_id, &id);
		if (e->info.state <= worst)
			return e;
	}
	return NULL;
}

static void ask_helpers_(BH__Members *m, const Entry_ *target)
{
	const BH__MemberInfo *helper[HELPERS_ + 1];
	unsigned n = bh__members_sample(m, helper, HELPERS_ + 1);
	unsigned asked = 0;

	for (unsigned i = 0; i < n && asked < HELPERS_; i++) {
		BH__Message msg = {.type = BH__MESSAGE_PING_REQ};
		if (helper[i]->node_id == target->info.node_id)
			continue;
		msg.as.ping_req.sequence = m->probe_sequence;
		msg.as.ping_req.target_node = target->info.node_id;
		send_(m, helper[i]->peer_address, &msg);
		asked++;
	}
}

static unsigned spread_(const BH__Members *m)
{
	return SPREAD_FACTOR_ * (unsigned)g_bit_storage(m->entries->len + 1);
}

static void fill_ping_(BH__Members *m, BH__Message *msg, BH__MessageType type, uint64_t sequence)
{
	Entry_ *member_update[BH__MESSAGE_UPDATES_MAX];

	memset(msg, 0, sizeof *msg);
	msg->type = type;
	msg->as.ping.sequence = sequence;
	msg->as.ping.self = m->self.info;
	msg->as.ping.quarantine_hash = m->quarantine_hash;
	msg->as.ping.update_count = (uint8_t)newest_news_(m, member_update);
	for (unsigned i = 0; i < msg->as.ping.update_count; i++) {
		member_update[i]->to_send--;
		msg->as.ping.update[i] = member_update[i]->info;
	}
}

/* Lists the records that have ridden the fewest times, as many as a message holds, and returns their number.
 * It looks at each record once, however many are to ride. */
static unsigned newest_news_(const BH__Members *m, Entry_ *out[BH__MESSAGE_UPDATES_MAX])
{
	unsigned count = 0;

	for (guint i = 0; i < m->entries->len; i++) {
		Entry_ *e = g_ptr_array_index(m->entries, i);
		unsigned at;
		if (!e->to_send || (count == BH__MESSAGE_UPDATES_MAX && e->to_send <= out[count - 1]->to_send))
			continue;
		at = count < BH__MESSAGE_UPDATES_MAX ? count++ : count - 1;
		for (; at > 0 && out[at - 1]->to_send < e->to_send; at--)
			out[at] = out[at - 1];
		out[at] = e;
	}
	return count;
}

/* Moves suspects to dead and forgets the dead after a while. Suspects of this node's own are asked whether
 * they live until then. */
static void age_(BH__Members *m, uint64_t now_us)
{
	for (guint i = m->entries->len; i-- > 0;) {
		Entry_ *e = g_ptr_array_index(m->entries, i);
		if (e->info.state == BH__MEMBER_SUSPECT && now_us >= e->since_us + SUSPICION_US_) {
			set_state_(m, e, BH__MEMBER_DEAD, now_us);
			e->to_send = SPREAD_TOLD_; /* others find it by themselves */
		}
		else if (e->info.state == BH__MEMBER_SUSPECT && now_us >= e->next_ask_us) {
			ask_suspect_(m, e, now_us);
		}
		else if (e->info.state == BH__MEMBER_DEAD && now_us >= e->since_us + FORGET_DEAD_US_) {
			remove_(m, e);
		}
	}
}

/* This node suspects another by what it sees itself. */
static void suspect_(BH__Members *m, Entry_ *e, uint64_t now_us)
{
	set_state_(m, e, BH__MEMBER_SUSPECT, now_us);
	ask_suspect_(m, e, now_us);
}

/* Tells all nodes at once of one, as of one that has not answered a probe. That is one node's or two nodes'
 * finding; news that rides on probes alone has not reached one node in eighty after 3 s. No node tells more
 * than a few others, and nobody answers: where one told 984 it was late to answer probes meanwhile, and was
 * suspected by others, who told all of that. */
static void tell_all_(BH__Members *m, const BH__MemberInfo *info, unsigned ways)
{
	BH__Message member_update = {.type = BH__MESSAGE_MEMBER_UPDATE};

	member_update.as.member_update.member = *info;
	tell_ways_(m, &member_update, ways);
}

/* Tells all nodes something at once; the message has an arc, which is filled in here. */
void bh__members_tell_all(BH__Members *m, BH__Message *msg)
{
	tell_ways_(m, msg, BH__MESSAGE_UPDATE_TREES);
}

static void tell_ways_(BH__Members *m, BH__Message *msg, unsigned ways)
{
	BH__Arc all = bh__ring_all_but(m->self.info.node_id);

	for (unsigned tree_index = 0; tree_index < ways; tree_index++) {
		msg->as.range =
			(BH__MessageRange){.first = all.first, .last = all.last, .tree_index = (uint8_t)tree_index};
		tell_arc_(m, msg);
	}
}

static bool may_tell_(const void *members, uint64_t node_id)
{
	const Entry_ *e = g_hash_table_lookup(((const BH__Members *)members)->by_id, &node_id);

	return e->info.state == BH__MEMBER_ALIVE;
}

/* Tells the nodes of a message's arc. */
static void tell_arc_(BH__Members *m, const BH__Message *msg)
{
	BH__Arc range = {.first = msg->as.range.first, .last = msg->as.range.last};
	BH__RingStep step[BH__RING_FANOUT];
	BH__Ring ring = {.id = (const uint64_t *)(const void *)m->ring_ids->data,
					 .count = m->ring_ids->len,
					 .lives = may_tell_,
					 .ctx = m};
	unsigned steps = bh__ring_split(&ring, range, msg->as.range.tree_index, step);

	for (unsigned i = 0; i < steps; i++) {
		const Entry_ *e = g_hash_table_lookup(m->by_id, &ring.id[step[i].at]);
		BH__Message out = *msg;
		out.as.range.first = step[i].piece.first;
		out.as.range.last = step[i].piece.last;
		send_(m, e->info.peer_address, &out);
	}
}

/* Tells a message that goes to all to those nodes that this one is to tell. */
void bh__members_pass_on(BH__Members *m, const BH__Message *msg)
{
	tell_arc_(m, msg);
}

/* News that goes to all: it is taken, and passed on. */
static void on_news_(BH__Members *m, const BH__Message *msg, uint64_t now_us)
{
	learn_(m, &msg->as.member_update.member, SPREAD_TOLD_, now_us);
	tell_arc_(m, msg);
}

/* Tells a suspect what is thought of it, so that it refutes that if it lives: news on its way over others may
 * come too late where there is much of it. */
static void ask_suspect_(BH__Members *m, Entry_ *e, uint64_t now_us)
{
	BH__Message msg;

	e->next_ask_us = now_us + PERIOD_US_;
	e->to_send = spread_(m) + 1; /* to be on this very one */
	fill_ping_(m, &msg, BH__MESSAGE_PING, ++m->next_sequence);
	send_(m, e->info.peer_address, &msg);
}

static void set_state_(BH__Members *m, Entry_ *e, BH__MemberState state, uint64_t now_us)
{
	BH__MemberState old = e->info.state;

	e->info.state = state;
	e->since_us = now_us;
	e->next_ask_us = UINT64_MAX;
	e->to_send = spread_(m);
	m->version++;
	m->port->changed(m->port, &e->info, old);
}

/* Returns true if `a` is later news of the same node than `b`. */
static bool supersedes_(const BH__MemberInfo *a, const BH__MemberInfo *b)
{
	if (a->boot_id != b->boot_id)
		return a->boot_id > b->boot_id;
	if (a->refutation != b->refutation)
		return a->refutation > b->refutation;
	return a->state > b->state;
}

static void add_(BH__Members *m, Entry_ *e)
{
	g_ptr_array_add(m->entries, e);
	g_hash_table_insert(m->by_id, &e->info.node_id, e);
	g_array_insert_val(m->ring_ids, find_place_(m, e->info.node_id), e->info.node_id);
}

/* Returns the index in the ring of the first id that is not below one. */
static guint find_place_(const BH__Members *m, uint64_t node_id)
{
	return bh__ring_find((const uint64_t *)(const void *)m->ring_ids->data, m->ring_ids->len, node_id);
}

static void remove_(BH__Members *m, Entry_ *e)
{
	g_array_remove_index(m->ring_ids, find_place_(m, e->info.node_id));
	g_hash_table_remove(m->by_id, &e->info.node_id);
	g_ptr_array_remove(m->entries, e);
}

/* Takes news of a node. It rides on so many of this node's own messages, if it changes anything. Returns
 * whether it does. */
static bool learn_(BH__Members *m, const BH__MemberInfo *info, unsigned rides, uint64_t now_us)
{
	Entry_ *e = g_hash_table_lookup(m->by_id, &info->node_id);
	BH__MemberInfo old;

	if (info->node_id == m->self.info.node_id) {
		learn_self_(m, info);
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
		e->to_send = rides;
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
	e->to_send = rides;
	return true;
}

/* Refutes what others say of this node, and takes a boot id above any that the name has had: the clock of an
 * earlier life may have been ahead. Stamps of the id given up then no longer match, which is safe. */
static void learn_self_(BH__Members *m, const BH__MemberInfo *info)
{
	BH__MemberInfo *self = &m->self.info;

	if (info->boot_id > self->boot_id) {
		self->boot_id = info->boot_id + 1;
		self->refutation = 0;
	}
	else if (info->boot_id == self->boot_id && info->state != BH__MEMBER_ALIVE &&
			 info->refutation >= self->refutation) {
		self->refutation = info->refutation + 1;
		bh__members_announce(m); /* before the duties of a node that lives have moved */
	}
}

/* Takes a message. Returns false if it is not one of membership's. */
bool bh__members_process_message(BH__Members *m, const BH__Message *msg, uint64_t now_us)
{
	BH__Message answer;

	switch (msg->type) {
	case BH__MESSAGE_PING:
	case BH__MESSAGE_ACK:
		learn_(m, &msg->as.ping.self, spread_(m), now_us);
		for (unsigned i = 0; i < msg->as.ping.update_count; i++)
			learn_(m, &msg->as.ping.update[i], spread_(m), now_us);
		if (msg->type == BH__MESSAGE_ACK) {
			on_ack_(m, msg);
			return true;
		}
		tell_of_suspicion_(m, msg->from_node);
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
			learn_(m, &msg->as.members.member[i], spread_(m), now_us);
		return true;
	case BH__MESSAGE_MEMBER_UPDATE:
		on_news_(m, msg, now_us);
		return true;
	default:
		return false;
	}
}

/* A node joins or compares tables. One that has started is told of to all by a node that has been there for a
 * while: riding on probes alone that takes seconds among hundreds. Several seeds do so, one way each. Where
 * all start at once nobody has been there. */
static void on_join_(BH__Members *m, const BH__Message *msg, uint64_t now_us)
{
	const BH__MemberInfo *info = &msg->as.join.self;
	bool tells = !is_young_(m, now_us);

	if (learn_(m, info, tells ? SPREAD_TOLD_ : spread_(m), now_us) && tells)
		tell_all_(m, info, 1);
	send_members_(m, info->peer_address, compare_parts_(m, msg->as.join.partition_hash));
}

static bool is_young_(const BH__Members *m, uint64_t now_us)
{
	return !m->started_us || now_us < m->started_us + YOUNG_US_;
}

/* Has the next messages carry what is thought of a node that is not dead after all, so that it refutes. */
static void tell_of_suspicion_(BH__Members *m, uint64_t node_id)
{
	Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	if (e && e->info.state != BH__MEMBER_ALIVE)
		e->to_send = spread_(m) + 1; /* to ride on the very next one */
}

/* An answer ends our own probe, or is passed on to the node that we probed for. */
static void on_ack_(BH__Members *m, const BH__Message *msg)
{
	uint64_t sequence = msg->as.ping.sequence;

	if (sequence == m->probe_sequence)
		m->probe_node = 0;
	for (guint i = 0; i < m->relays->len; i++) {
		const Relay_ *r = &g_array_index(m->relays, Relay_, i);
		const Entry_ *asker = g_hash_table_lookup(m->by_id, &r->asker_node);
		BH__Message answer;
		if (r->sequence != sequence)
			continue;
		if (asker) {
			fill_ping_(m, &answer, BH__MESSAGE_ACK, r->asker_sequence);
			send_(m, asker->info.peer_address, &answer);
		}
		g_array_remove_index_fast(m->relays, i);
		return;
	}
}

static void on_ping_req_(BH__Members *m, const BH__Message *msg, uint64_t now_us)
{
	const Entry_ *target = g_hash_table_lookup(m->by_id, &msg->as.ping_req.target_node);
	Relay_ r = {.sequence = ++m->next_sequence,
				.asker_node = msg->from_node,
				.asker_sequence = msg->as.ping_req.sequence,
				.expires_us = now_us + PERIOD_US_};
	BH__Message ping;

	for (guint i = m->relays->len; i-- > 0;)
		if (now_us >= g_array_index(m->relays, Relay_, i).expires_us)
			g_array_remove_index_fast(m->relays, i);
	if (!target)
		return;
	g_array_append_val(m->relays, r);
	fill_ping_(m, &ping, BH__MESSAGE_PING, r.sequence);
	send_(m, target->info.peer_address, &ping);
}

/* Sends what is known of some parts, and this node itself, to a node that asks for it. */
static void send_members_(BH__Members *m, const char *address, uint64_t partitions)
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
		if (!is_presumed_(e) && is_in_parts_(partitions, e->info.node_id))
			msg.as.members.member[msg.as.members.count++] = e->info;
	}
	send_(m, address, &msg);
	g_free(msg.as.members.member);
}

/* Sends what this node knows and some parts of a table that it was sent lack. */
static void send_missing_(BH__Members *m, const BH__Message *table)
{
	BH__Message msg = {.type = BH__MESSAGE_MEMBERS};
	GHashTable *told = g_hash_table_new(g_int64_hash, g_int64_equal);
	const Entry_ *sender = g_hash_table_lookup(m->by_id, &table->from_node);

	for (uint32_t i = 0; i < table->as.members.count; i++)
		g_hash_table_insert(told, &table->as.members.member[i].node_id, &table->as.members.member[i]);
	msg.as.members.member = g_new(BH__MemberInfo, m->entries->len + 1);
	for (guint i = 0; i < m->entries->len; i++) {
		const Entry_ *e = g_ptr_array_index(m->entries, i);
		const BH__MemberInfo *known = g_hash_table_lookup(told, &e->info.node_id);
		if (is_presumed_(e) || e == sender || !is_in_parts_(table->as.members.partitions, e->info.node_id) ||
			(known && !supersedes_(&e->info, known)))
			continue;
		if (known || e->info.state != BH__MEMBER_DEAD)
			msg.as.members.member[msg.as.members.count++] = e->info;
	}
	if (sender && msg.as.members.count)
		send_(m, sender->info.peer_address, &msg);
	g_free(msg.as.members.member);
	g_hash_table_unref(told);
}

/* A connection to the node was refused or broke: suspect it now rather than after a probe. */
void bh__members_process_unreachable(BH__Members *m, uint64_t node_id, uint64_t now_us)
{
	Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	if (!e || e->info.state != BH__MEMBER_ALIVE)
		return;
	if (!is_presumed_(e) || now_us >= e->since_us + PRESUMED_PATIENCE_US_)
		suspect_(m, e, now_us);
}

/* Sets what this node says of itself. Leaving is for good. */
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

/* Sets the hash of this node's quarantine, which rides on probes and answers: nodes whose hashes differ tell
 * each other their entries. */
void bh__members_set_quarantine(BH__Members *m, uint64_t hash)
{
	m->quarantine_hash = hash;
}

/* Tells every live node at once what this one says of itself. */
void bh__members_announce(BH__Members *m)
{
	tell_all_(m, &m->self.info, BH__MESSAGE_UPDATE_TREES);
}

const BH__MemberInfo *bh__members_get_self(const BH__Members *m)
{
	return &m->self.info;
}

/* Forgets a dead node that is known to be gone for good. */
void bh__members_forget(BH__Members *m, uint64_t node_id)
{
	Entry_ *e = g_hash_table_lookup(m->by_id, &node_id);

	if (e && e->info.state == BH__MEMBER_DEAD)
		remove_(m, e);
}

/* Returns what is known of a node, this one included, or NULL. */
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

/* Returns a node by index; 0 is this one. */
const BH__MemberInfo *bh__members_get(const BH__Members *m, unsigned index)
{
	return index == 0 ? &m->self.info : &((const Entry_ *)g_ptr_array_index(m->entries, index - 1))->info;
}

/* Returns a number that grows whenever a pick may come out otherwise. */
uint64_t bh__members_get_version(const BH__Members *m)
{
	return m->version;
}

/* Puts up to `max` different random live nodes into `out`; returns their number. */
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

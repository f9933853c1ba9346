/* SPDX-License-Identifier: BSD-3-Clause */
/* Nodes and a store on virtual time, in steps of a few milliseconds. */
#include "fleet.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "bayhoist/hash.h"
#include "bayhoist/sync_source.h"
#include "null_members.h"

#define STEP_US (5 * BH__MS_US)
#define TICK_STEPS 20                    /* between a node's looks at membership and time */
#define MESSAGE_US (3 * BH__MS_US)       /* on its way, at least */
#define STORE_US (4 * BH__MS_US)         /* for an answer of the store */
#define LOOK_LIMIT_US (800 * BH__MS_US)  /* for which a node waits for it */
#define LIST_LIMIT_US (2500 * BH__MS_US) /* the same of a page of the list */
#define LARGE_LINK 10                    /* times as fast as others is the link of every third node */
#define BACK_LEAST_US                                                                                        \
	(200 * BH__MS_US) /* for entries that lapsed, after the store's return, and 1.5 s at most */
#define CHECK_IN_US (1200 * BH__MS_US)
#define SUSPECT_US BH__SECOND_US        /* until probes have found a node silent, and all know it */
#define HISTORY 20000                   /* changes that the store keeps */
#define SENDINGS_MAX 5                  /* of one look */
#define SEEDS_LEAST_US (10 * BH__MS_US) /* until a node that starts alone knows the others */
#define SEEDS_MOST_US (250 * BH__MS_US)

typedef struct {
	uint64_t due_us;
	unsigned to;
	char *data;
	size_t len;
} Letter;

/* A change that the store holds: of an endpoint's entry. */
typedef struct {
	uint64_t at_us;
	unsigned endpoint;
	uint64_t revision;
	bool gone;
} Change;

typedef struct {
	bool listed;
	bool left;
	BH__StoreVersion left_at;
	uint64_t back_us; /* 0: its entry is there, or it has left */
	uint64_t revision;
} Endpoint;

/* A look, as it was sent once. */
typedef struct {
	uint64_t sent_us;
	uint64_t done_us;
	bool fails;
} Sending;

/* A look that is under way, if it was sent at all. */
typedef struct {
	Sending sending[SENDINGS_MAX];
	unsigned count;
	uint64_t limit_us;
	unsigned pages; /* of the list that are still to be read; 0: it asks for changes */
} StoreLook;

typedef struct {
	BH__PlatformSyncPort port; /* first */
	Fleet *fleet;
	unsigned index;
	uint64_t id;
	BH__Members *members;
	BH__Registry *registry;
	BH__PlatformSync *looks;
	BH__ConfigurationState configuration;
	bool served;
	bool is_cut; /* from all other nodes */
	bool is_cut_from_store;
	bool watches;
	uint64_t meets_us;     /* when it learns of the other nodes; 0: it knows them */
	uint64_t link_free_us; /* when its link has sent what was sent so far */
	uint64_t suspended_until_us;
	uint64_t suspect_us;       /* when all others suspect it; 0: they do not, or have been told */
	uint32_t refutation;       /* times that it has refuted that */
	StoreLook look[2];         /* at endpoints, at the configuration */
	uint64_t platform_read_us; /* last answer of the store */
	uint64_t sent_bytes;
	unsigned sent_messages;
	bool *stopped; /* of each endpoint: this node knows that it left, and does not use it */
} Node;

/* What operators wrote of a hall. */
typedef struct {
	bool drains;
	uint64_t revision; /* 0: nothing */
	bool drained_last; /* what was written last, also if the store has gone back since */
	uint64_t written_us;
	uint64_t again_us; /* it is written again then, after the store went back; 0: it is not */
} Hall;

struct Fleet {
	FleetOptions options;
	uint64_t now_us;
	unsigned step;
	GRand *rand;
	Node *node;
	GHashTable *by_id; /* Node */
	Endpoint *endpoint;
	Hall *hall;
	GArray *changes; /* Change */
	uint64_t era;
	uint64_t revision;
	bool is_up;
	FleetStoreAway away;
	uint64_t answer_us; /* of the store, for an answer */
	GPtrArray *letters; /* Letter */
	BH__Message table;  /* of all nodes */
	unsigned calls;
	unsigned calls_in_s;    /* within the second that has begun */
	uint64_t store_free_us; /* when the store's link has sent all answers so far */
	unsigned revivals;
	bool probes_tell_nothing;
	bool is_configuration_unreadable; /* what the store holds now */
};

enum { ENDPOINTS, CONFIGURATION };

#define FLEET_VERSION 1 /* of the configuration that all nodes can decode */

static Node *node_(BH__PlatformSyncPort *port)
{
	return (Node *)port;
}

static void probe_(Fleet *f, Node *n);
static void take_look_(Node *n, int what, uint64_t sent_us);

static bool runs_(const Node *n)
{
	return n->fleet->now_us >= n->suspended_until_us;
}

/* Returns the time that a link of `mbps` takes for `bytes`. */
static uint64_t transfer_us_(uint64_t bytes, unsigned mbps)
{
	return mbps ? bytes * 8 / mbps : 0;
}

static unsigned node_mbps_(const Node *n)
{
	return n->fleet->options.node_mbps * (n->index % 3 ? 1 : LARGE_LINK);
}

static void send_(BH__PlatformSyncPort *port, uint64_t node_id, BH__Message *m)
{
	Node *n = node_(port);
	Fleet *f = n->fleet;
	const Node *to = g_hash_table_lookup(f->by_id, &node_id);
	Letter *l;

	m->from_node = n->id;
	m->from_boot = 1;
	l = g_new0(Letter, 1);
	l->data = bh__message_encode(m, &l->len);
	n->sent_messages++;
	n->sent_bytes += l->len;
	if (!to || n->is_cut || to->is_cut ||
		(unsigned)g_rand_int_range(f->rand, 0, 1000) < f->options.loss_per_mille) {
		free(l->data);
		g_free(l);
		return;
	}
	l->to = to->index;
	n->link_free_us = MAX(n->link_free_us, f->now_us) + transfer_us_(l->len, node_mbps_(n));
	l->due_us = n->link_free_us + MESSAGE_US + (uint64_t)g_rand_int_range(f->rand, 0, (gint32)MESSAGE_US);
	g_ptr_array_add(f->letters, l);
}

/* Returns true if the store refuses a read, since others have used up what it answers in a second. */
static bool is_over_rate_(Fleet *f)
{
	return f->options.reads_per_s && ++f->calls_in_s > f->options.reads_per_s;
}

static uint64_t page_bytes_(const Fleet *f)
{
	return (uint64_t)MIN(f->options.page, f->options.endpoints) * f->options.entry_bytes;
}

/* Returns when an answer of `bytes` has come to a node, over the store's link and the node's. */
static uint64_t answered_us_(Node *n, uint64_t bytes)
{
	Fleet *f = n->fleet;

	f->store_free_us = MAX(f->store_free_us, f->now_us) + transfer_us_(bytes, f->options.store_mbps);
	return f->store_free_us + f->answer_us + transfer_us_(bytes, node_mbps_(n));
}

/* A sending that the store does not answer ends with the look's time. */
static void send_look_(Node *n, StoreLook *look)
{
	Fleet *f = n->fleet;
	Sending *s = &look->sending[look->count];
	uint64_t until_us = (look->count ? look->sending[0].sent_us : f->now_us) + look->limit_us;
	bool over_rate = is_over_rate_(f);

	f->calls++;
	look->count++;
	s->sent_us = f->now_us;
	s->fails = !n->served || n->is_cut_from_store || over_rate;
	if (s->fails && (n->is_cut_from_store || f->away == FLEET_STORE_SILENT) && !over_rate)
		s->done_us = until_us;
	else if (s->fails)
		s->done_us = MIN(f->now_us + f->answer_us, until_us);
	else
		s->done_us = MIN(answered_us_(n, look->pages ? page_bytes_(f) : 0), until_us);
	s->fails |= !over_rate && s->done_us == until_us;
}

static void begin_look_(Node *n, int what, uint64_t limit_us)
{
	StoreLook *look = &n->look[what];

	if (look->count)
		return;
	look->limit_us = limit_us;
	look->pages = 0;
	if (what == ENDPOINTS && bh__store_version_is_zero(bh__registry_get_store_version(n->registry)) &&
		n->fleet->options.page) {
		look->pages = (n->fleet->options.endpoints + n->fleet->options.page - 1) / n->fleet->options.page;
		look->limit_us = LIST_LIMIT_US;
	}
	send_look_(n, look);
}

static void look_at_configuration_(BH__PlatformSyncPort *port)
{
	begin_look_(node_(port), CONFIGURATION, LOOK_LIMIT_US);
}

static void look_at_endpoints_(BH__PlatformSyncPort *port, uint64_t limit_us)
{
	begin_look_(node_(port), ENDPOINTS, limit_us ? limit_us : LOOK_LIMIT_US);
}

static bool look_at_endpoints_again_(BH__PlatformSyncPort *port)
{
	Node *n = node_(port);
	StoreLook *look = &n->look[ENDPOINTS];

	if (!look->count || look->count == SENDINGS_MAX || look->pages)
		return false;
	send_look_(n, look);
	return true;
}

static void watch_configuration_(BH__PlatformSyncPort *port, bool wanted)
{
	node_(port)->watches = wanted;
}

static const BH__ConfigurationState *get_configuration_(BH__PlatformSyncPort *port)
{
	return &node_(port)->configuration;
}

static const char *get_configuration_text_(BH__PlatformSyncPort *port)
{
	(void)port;
	return "{}";
}

static bool take_configuration_(BH__PlatformSyncPort *port, const char *text, uint64_t platform_read_us)
{
	Node *n = node_(port);

	(void)text;
	bh__configuration_state_note_installed(&n->configuration, FLEET_VERSION, 0, platform_read_us,
										   n->fleet->now_us);
	return true;
}

static void confirm_configuration_(BH__PlatformSyncPort *port, uint64_t version, uint64_t platform_read_us)
{
	bh__configuration_state_note_confirmed(&node_(port)->configuration, version, platform_read_us);
}

/* Drops endpoints whose time is over, counts those that are used again, and tells those who wait. */
static void follow_registry_(Node *n)
{
	Fleet *f = n->fleet;

	bh__registry_process_tick(n->registry, f->now_us);
	for (unsigned i = 0; i < f->options.endpoints; i++) {
		char id[BH__NAME_LEN];
		const BH__RegisteredEndpoint *e;
		bool usable;
		if (!f->endpoint[i].left)
			continue;
		snprintf(id, sizeof id, "i-%u", i);
		e = bh__registry_find(n->registry, bh__hash_name(id));
		usable = e && bh__registered_endpoint_is_usable(e, f->now_us);
		f->revivals += usable && n->stopped[i];
		n->stopped[i] = !usable && !bh__store_version_is_after(f->endpoint[i].left_at,
															   bh__registry_get_store_version(n->registry));
	}
}

static void learnt_(BH__PlatformSyncPort *port)
{
	Node *n = node_(port);

	follow_registry_(n);
	bh__platform_sync_process_update(n->looks, n->fleet->now_us);
}

static void said_(BH__PlatformSyncPort *port, BH__PlatformSyncEvent event, uint64_t node_id)
{
	const Node *n = node_(port);
	const Node *other = g_hash_table_lookup(n->fleet->by_id, &node_id);

	if (getenv("FLEET_TRACE"))
		fprintf(stderr, "%.3f vm-%u %s vm-%d\n", (double)(n->fleet->now_us - FLEET_START_US) / 1e6, n->index,
				BH__PlatformSyncEventString[event], other ? (int)other->index : -1);
}

static void was_told_(BH__PlatformSyncPort *port, const BH__Message *m, unsigned was_count)
{
	(void)port;
	(void)m;
	(void)was_count;
}

static const BH__PlatformSyncPort Port_ = {.send = send_,
										   .read_configuration = look_at_configuration_,
										   .read_endpoints = look_at_endpoints_,
										   .resend_endpoints_read = look_at_endpoints_again_,
										   .watch_configuration = watch_configuration_,
										   .get_configuration = get_configuration_,
										   .get_configuration_text = get_configuration_text_,
										   .take_configuration = take_configuration_,
										   .confirm_configuration = confirm_configuration_,
										   .merged = learnt_,
										   .report_event = said_,
										   .report_received = was_told_};

static BH__MemberInfo describe_(const Fleet *f, unsigned i)
{
	BH__MemberInfo info = {.boot_id = 1, .capacity = i % 3 ? 100 : 500};

	snprintf(info.name, sizeof info.name, "vm-%u", i);
	snprintf(info.hall, sizeof info.hall, "hall-%u", i % f->options.halls);
	info.node_id = bh__hash_name(info.name);
	return info;
}

/* Nodes that start at once draw from clocks that are nearly alike. */
static void start_node_(Fleet *f, Node *n, unsigned i)
{
	BH__MemberInfo self = describe_(f, i);
	BH__PlatformSyncOptions options = {
		.endpoint_drain_ms = FLEET_DRAIN_MS,
		.configuration_ms = FLEET_CONFIGURATION_MS,
		.unavailable_reads_per_s = f->options.looks_per_s > 0 ? f->options.looks_per_s : FLEET_LOOKS_PER_S,
		.random_seed = FLEET_START_US * 1000 + f->options.seed * BH__SECOND_US * 7 + i * 3};

	n->port = Port_;
	n->fleet = f;
	n->index = i;
	n->id = self.node_id;
	n->served = true;
	n->members = bh__members_new(&NullMembersPort, &self, i);
	if (f->options.starts_alone)
		n->meets_us = FLEET_START_US + (uint64_t)g_rand_int_range(f->rand, SEEDS_LEAST_US, SEEDS_MOST_US);
	else
		bh__members_process_message(n->members, &f->table, FLEET_START_US);
	n->registry = bh__registry_new(i);
	n->looks = bh__platform_sync_new(&n->port, &options, n->members, n->registry);
	n->stopped = g_new0(bool, f->options.endpoints);
	g_hash_table_insert(f->by_id, &n->id, n);
}

static void change_(Fleet *f, unsigned endpoint, bool gone)
{
	Change c = {.at_us = f->now_us, .endpoint = endpoint, .revision = ++f->revision, .gone = gone};

	f->endpoint[endpoint].revision = f->revision;
	f->endpoint[endpoint].listed = !gone;
	g_array_append_val(f->changes, c);
}

Fleet *fleet_new(const FleetOptions *options)
{
	Fleet *f = g_new0(Fleet, 1);

	f->options = *options;
	f->now_us = FLEET_START_US;
	f->rand = g_rand_new_with_seed(options->seed);
	f->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->endpoint = g_new0(Endpoint, options->endpoints);
	f->hall = g_new0(Hall, options->halls);
	f->changes = g_array_new(FALSE, FALSE, sizeof(Change));
	f->letters = g_ptr_array_new();
	f->is_up = true;
	f->answer_us = STORE_US;
	for (unsigned i = 0; i < options->endpoints; i++)
		change_(f, i, false);
	f->node = g_new0(Node, options->nodes);
	f->table.type = BH__MESSAGE_MEMBERS;
	f->table.as.members.count = options->nodes;
	f->table.as.members.member = g_new0(BH__MemberInfo, options->nodes);
	for (unsigned i = 0; i < options->nodes; i++)
		f->table.as.members.member[i] = describe_(f, i);
	for (unsigned i = 0; i < options->nodes; i++)
		start_node_(f, &f->node[i], i);
	return f;
}

void fleet_delete(Fleet *f)
{
	for (unsigned i = 0; i < f->options.nodes; i++) {
		bh__platform_sync_delete(f->node[i].looks);
		bh__registry_delete(f->node[i].registry);
		bh__members_delete(f->node[i].members);
		g_free(f->node[i].stopped);
	}
	for (guint i = 0; i < f->letters->len; i++) {
		Letter *l = g_ptr_array_index(f->letters, i);
		free(l->data);
		g_free(l);
	}
	g_ptr_array_unref(f->letters);
	g_free(f->table.as.members.member);
	g_array_unref(f->changes);
	g_hash_table_unref(f->by_id);
	g_rand_free(f->rand);
	g_free(f->endpoint);
	g_free(f->hall);
	g_free(f->node);
	g_free(f);
}

uint64_t fleet_now_us(const Fleet *f)
{
	return f->now_us;
}

static BH__StoreVersion place_(const Fleet *f, uint64_t revision)
{
	return (BH__StoreVersion){.era = f->era, .revision = revision};
}

static void put_(Node *n, unsigned endpoint, uint64_t revision, BH__StoreVersion as_of)
{
	BH__EndpointEntry e = {.service = "s", .slots = 4, .born_ms = 1};

	snprintf(e.hall, sizeof e.hall, "hall-%u", endpoint % n->fleet->options.halls);
	snprintf(e.id, sizeof e.id, "i-%u", endpoint);
	snprintf(e.address, sizeof e.address, "10.0.%u.%u:80", endpoint / 250, endpoint % 250);
	bh__registry_put(n->registry, &e, place_(n->fleet, revision), as_of);
}

/* The store's answer: the changes since what the node knows, or the whole list. */
static void read_store_(Node *n)
{
	Fleet *f = n->fleet;
	BH__StoreVersion from = bh__registry_get_store_version(n->registry);
	BH__StoreVersion to = place_(f, f->revision);
	uint64_t gone_at_us = bh__platform_sync_get_gone_at_us(n->looks, f->now_us);

	if (bh__store_version_is_zero(from) || from.era != f->era) {
		GHashTable *ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
		bh__registry_begin_era(n->registry, to);
		if (!bh__store_version_is_zero(from))
			gone_at_us = f->now_us + BH__OUTAGE_GRACE_US;
		for (unsigned i = 0; i < f->options.endpoints; i++) {
			char id[BH__NAME_LEN];
			uint64_t hash;
			if (!f->endpoint[i].listed)
				continue;
			snprintf(id, sizeof id, "i-%u", i);
			hash = bh__hash_name(id);
			g_hash_table_add(ids, g_memdup2(&hash, sizeof hash));
			put_(n, i, f->endpoint[i].revision, to);
		}
		bh__registry_retain_only(n->registry, ids, to, gone_at_us);
		g_hash_table_unref(ids);
	}
	for (guint i = 0; i < f->changes->len && from.era == f->era; i++) {
		const Change *c = &g_array_index(f->changes, Change, i);
		char id[BH__NAME_LEN];
		if (c->revision <= from.revision)
			continue;
		snprintf(id, sizeof id, "i-%u", c->endpoint);
		if (c->gone)
			bh__registry_remove(n->registry, bh__hash_name(id), place_(f, c->revision), gone_at_us, to);
		else
			put_(n, c->endpoint, c->revision, to);
	}
	bh__registry_set_store_version(n->registry, to);
}

/* What operators wrote of a hall comes to a node that looks or watches. */
static void tell_hall_(Node *n, unsigned hall, bool listed)
{
	Fleet *f = n->fleet;
	char name[BH__NAME_LEN];

	snprintf(name, sizeof name, "hall-%u", hall);
	if (listed)
		bh__registry_read_hall(n->registry, name, place_(f, f->hall[hall].revision), f->now_us);
	else
		bh__registry_put_hall(n->registry, name, f->hall[hall].drains, place_(f, f->hall[hall].revision),
							  f->now_us);
}

/* The store's answer: all halls that drain. */
static void read_halls_(Node *n)
{
	Fleet *f = n->fleet;
	GHashTable *names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (unsigned i = 0; i < f->options.halls; i++) {
		if (!f->hall[i].drains)
			continue;
		tell_hall_(n, i, true);
		g_hash_table_add(names, g_strdup_printf("hall-%u", i));
	}
	bh__registry_retain_halls(n->registry, names, place_(f, f->revision), f->now_us);
	g_hash_table_unref(names);
}

/* The first answer ends a look, or the last failure. */
static void follow_look_(Node *n, int what)
{
	StoreLook *look = &n->look[what];
	uint64_t now_us = n->fleet->now_us;
	uint64_t first_us = look->sending[0].sent_us;
	unsigned failed = 0;

	for (unsigned i = 0; i < look->count; i++) {
		const Sending *s = &look->sending[i];
		if (now_us < s->done_us)
			continue;
		failed += s->fails;
		if (!s->fails) {
			look->count = 0;
			if (look->pages > 1 && !bh__platform_sync_process_list_page(n->looks, n->fleet->now_us)) {
				bh__platform_sync_note_list_abandoned(n->looks);
				return;
			}
			if (look->pages > 1) {
				look->pages--;
				send_look_(n, look);
				return;
			}
			take_look_(n, what, s->sent_us);
			return;
		}
	}
	if (!look->count || failed < look->count)
		return;
	look->count = 0;
	if (what == ENDPOINTS)
		bh__platform_sync_note_read_failed(n->looks, first_us, look->limit_us, now_us);
}

/* A node has read the configuration: the one that all can decode, or a newer one that none can. */
static void take_configuration_look_(Node *n, uint64_t sent_us)
{
	BH__ConfigurationState *c = &n->configuration;

	if (n->fleet->is_configuration_unreadable)
		bh__configuration_state_note_refused(c, 0, sent_us, n->fleet->now_us);
	else if (bh__configuration_state_is_newer(c, FLEET_VERSION))
		bh__configuration_state_note_installed(c, FLEET_VERSION, 0, sent_us, n->fleet->now_us);
	else
		bh__configuration_state_note_shown(c, sent_us, n->fleet->now_us);
}

/* What the store has answered is known, as of when the look was sent. */
static void take_look_(Node *n, int what, uint64_t sent_us)
{
	n->platform_read_us = n->fleet->now_us;
	if (what == CONFIGURATION) {
		take_configuration_look_(n, sent_us);
		read_halls_(n);
		bh__platform_sync_process_update(n->looks, n->fleet->now_us);
		return;
	}
	read_store_(n);
	bh__platform_sync_note_read_answered(n->looks, sent_us, n->fleet->now_us);
	learnt_(&n->port);
}

static void deliver_(Fleet *f)
{
	for (guint i = 0; i < f->letters->len;) {
		Letter *l = g_ptr_array_index(f->letters, i);
		Node *n = &f->node[l->to];
		BH__Message m;
		if (l->due_us > f->now_us || !runs_(n)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(f->letters, i);
		if (bh__message_decode(&m, l->data, l->len, NULL)) {
			if (m.type == BH__MESSAGE_SYNC_ASK)
				bh__platform_sync_process_ask(n->looks, &m, f->now_us);
			else if (m.type == BH__MESSAGE_SYNC)
				bh__platform_sync_process_answer(n->looks, &m, f->now_us);
			else if (m.type == BH__MESSAGE_READER)
				bh__platform_sync_process_reader(n->looks, &m, f->now_us);
			bh__message_finish(&m);
		}
		free(l->data);
		g_free(l);
	}
}

/* Endpoints check in, and write entries again that have lapsed. */
static void step_store_(Fleet *f)
{
	for (unsigned i = 0; i < f->options.endpoints && f->is_up; i++) {
		Endpoint *e = &f->endpoint[i];
		if (e->back_us && f->now_us >= e->back_us) {
			e->back_us = 0;
			change_(f, i, e->left);
		}
		else if (e->left) {
			continue;
		}
		else if (e->listed && (f->now_us / STEP_US + i * 7) % (CHECK_IN_US / STEP_US) == 0) {
			e->revision = ++f->revision; /* its sequence, which is no change that is told */
		}
	}
	for (unsigned i = 0; i < f->options.halls && f->is_up; i++)
		if (f->hall[i].again_us && f->now_us >= f->hall[i].again_us)
			fleet_drain_hall(f, i, f->hall[i].drained_last);
	if (f->changes->len > HISTORY)
		g_array_remove_range(f->changes, 0, f->changes->len - HISTORY);
}

void fleet_run(Fleet *f, uint64_t us)
{
	uint64_t until_us = f->now_us + us;

	for (; f->now_us < until_us; f->now_us += STEP_US, f->step++) {
		if ((f->now_us - FLEET_START_US) % BH__SECOND_US == 0)
			f->calls_in_s = 0;
		step_store_(f);
		deliver_(f);
		for (unsigned i = 0; i < f->options.nodes; i++) {
			Node *n = &f->node[i];
			probe_(f, n);
			if (!runs_(n))
				continue;
			if (n->meets_us && f->now_us >= n->meets_us) {
				n->meets_us = 0;
				bh__members_process_message(n->members, &f->table, f->now_us);
			}
			for (int what = 0; what < 2; what++)
				follow_look_(n, what);
			if ((f->step + i) % TICK_STEPS == 0) {
				follow_registry_(n);
				bh__platform_sync_process_tick(n->looks, f->now_us);
				bh__platform_sync_process_update(n->looks, f->now_us);
			}
		}
	}
}

FleetWork fleet_take_work(Fleet *f)
{
	FleetWork w = {.calls = f->calls};

	f->calls = 0;
	for (unsigned i = 0; i < f->options.nodes; i++) {
		Node *n = &f->node[i];
		w.messages += n->sent_messages;
		w.bytes += n->sent_bytes;
		w.busiest_bytes = MAX(w.busiest_bytes, n->sent_bytes);
		w.busiest_messages = MAX(w.busiest_messages, n->sent_messages);
		n->sent_messages = 0;
		n->sent_bytes = 0;
	}
	return w;
}

void fleet_set_notice_time(Fleet *f, uint64_t us)
{
	for (unsigned i = 0; i < f->options.nodes; i++)
		bh__platform_sync_set_notice_time(f->node[i].looks, us);
}

void fleet_set_store(Fleet *f, unsigned served_per_mille, FleetStoreAway away)
{
	bool was_up = f->is_up;

	f->is_up = served_per_mille > 0;
	f->away = away;
	for (unsigned i = 0; i < f->options.nodes; i++)
		f->node[i].served = (unsigned)g_rand_int_range(f->rand, 0, 1000) < served_per_mille;
	if (f->is_up)
		f->node[g_rand_int_range(f->rand, 0, (gint32)f->options.nodes)].served = true;
	for (unsigned i = 0; i < f->options.endpoints && f->is_up && !was_up; i++)
		if (!f->endpoint[i].listed && !f->endpoint[i].left)
			f->endpoint[i].back_us =
				f->now_us + BACK_LEAST_US + (uint64_t)g_rand_int_range(f->rand, 0, 1300) * BH__MS_US;
}

void fleet_set_answer(Fleet *f, uint64_t us)
{
	f->answer_us = us;
}

void fleet_lapse(Fleet *f)
{
	for (unsigned i = 0; i < f->options.endpoints; i++)
		if (f->endpoint[i].listed)
			change_(f, i, true);
}

void fleet_leave(Fleet *f, unsigned endpoint)
{
	f->endpoint[endpoint].left = true;
	change_(f, endpoint, true);
	f->endpoint[endpoint].left_at = place_(f, f->revision);
}

/* Nodes that watch hear of it at once, if the store answers them. */
void fleet_drain_hall(Fleet *f, unsigned hall, bool drains)
{
	f->hall[hall] =
		(Hall){.drains = drains, .drained_last = drains, .revision = ++f->revision, .written_us = f->now_us};
	for (unsigned i = 0; i < f->options.nodes; i++) {
		Node *n = &f->node[i];
		if (!n->watches || !n->served || n->is_cut_from_store || !runs_(n))
			continue;
		tell_hall_(n, hall, false);
		learnt_(&n->port);
	}
}

/* What was written since the copy is gone; what endpoints and operators wrote is written again within the
 * second that follows. */
void fleet_go_back(Fleet *f, uint64_t by_us)
{
	uint64_t copy_us = f->now_us - by_us;
	uint64_t revision = 1;

	for (guint k = 0; k < f->changes->len; k++)
		if (g_array_index(f->changes, Change, k).at_us <= copy_us)
			revision = g_array_index(f->changes, Change, k).revision;
	f->era++;
	f->revision = revision;
	for (unsigned i = 0; i < f->options.endpoints; i++) {
		Endpoint *e = &f->endpoint[i];
		e->listed = false;
		for (guint k = 0; k < f->changes->len; k++) {
			const Change *c = &g_array_index(f->changes, Change, k);
			if (c->endpoint == i && c->at_us <= copy_us)
				e->listed = !c->gone;
		}
		e->revision = MIN(e->revision, f->revision);
		e->back_us = f->now_us + BACK_LEAST_US + (uint64_t)g_rand_int_range(f->rand, 0, 800) * BH__MS_US;
	}
	for (unsigned i = 0; i < f->options.halls; i++) {
		Hall *h = &f->hall[i];
		if (h->written_us <= copy_us)
			continue;
		h->drains = !h->drains;
		h->revision = MIN(h->revision, f->revision);
		h->again_us = f->now_us + BACK_LEAST_US + (uint64_t)g_rand_int_range(f->rand, 0, 800) * BH__MS_US;
	}
	g_array_set_size(f->changes, 0);
}

/* Has all nodes know of a node's state, as probes would. */
static void tell_members_(Fleet *f, Node *n, BH__MemberState state)
{
	BH__MemberInfo info = describe_(f, n->index);
	BH__Message m = {.type = BH__MESSAGE_MEMBERS, .as.members = {.count = 1, .member = &info}};

	info.state = state;
	info.refutation = n->refutation;
	for (unsigned i = 0; i < f->options.nodes; i++)
		if (i != n->index)
			bh__members_process_message(f->node[i].members, &m, f->now_us);
}

/* Probes find a suspended node silent after a while, and refute that once it runs again. */
static void probe_(Fleet *f, Node *n)
{
	if (n->suspect_us && f->now_us >= n->suspect_us && !runs_(n) && !f->probes_tell_nothing) {
		n->suspect_us = 0;
		tell_members_(f, n, BH__MEMBER_SUSPECT);
	}
	if (n->suspended_until_us && runs_(n)) {
		n->suspended_until_us = 0;
		n->refutation++;
		tell_members_(f, n, BH__MEMBER_ALIVE);
	}
}

void fleet_set_probes(Fleet *f, bool tell)
{
	f->probes_tell_nothing = !tell;
}

void fleet_suspend(Fleet *f, unsigned node, uint64_t us)
{
	f->node[node].suspect_us = f->now_us + SUSPECT_US;
	f->node[node].suspended_until_us = f->now_us + us;
}

void fleet_cut(Fleet *f, unsigned node, bool from_nodes, bool from_store)
{
	f->node[node].is_cut = from_nodes;
	f->node[node].is_cut_from_store = from_store;
}

uint64_t fleet_get_known_us(const Fleet *f, unsigned node)
{
	return bh__platform_sync_get_as_of_us(f->node[node].looks);
}

unsigned fleet_find_ranked(const Fleet *f, unsigned rank)
{
	BH__MemberInfo self = describe_(f, 0);
	BH__Members *m = bh__members_new(&NullMembersPort, &self, 0);
	uint64_t passed[BH__SYNC_SOURCE_SKIPPED_MAX];
	uint64_t id = 0;

	bh__members_process_message(m, &f->table, f->now_us);
	for (unsigned i = 0; i <= rank && i < BH__SYNC_SOURCE_SKIPPED_MAX; i++) {
		id = bh__members_pick_except(m, bh__hash_name("platform-reader"), NULL, passed, i);
		passed[i] = id;
	}
	bh__members_delete(m);
	return ((const Node *)g_hash_table_lookup(f->by_id, &id))->index;
}

unsigned fleet_find_reader(const Fleet *f)
{
	unsigned best = 0;

	for (unsigned i = 1; i < f->options.nodes; i++)
		if (f->node[i].platform_read_us > f->node[best].platform_read_us)
			best = i;
	return best;
}

static bool counts_(const Node *n)
{
	return runs_(n) && !n->is_cut;
}

unsigned fleet_count_unaware(const Fleet *f, uint64_t since_us)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->options.nodes; i++)
		count += counts_(&f->node[i]) && bh__platform_sync_get_as_of_us(f->node[i].looks) < since_us;
	return count;
}

void fleet_set_configuration_readable(Fleet *f, bool readable)
{
	f->is_configuration_unreadable = !readable;
}

unsigned fleet_count_refusing(const Fleet *f)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->options.nodes; i++) {
		const Node *n = &f->node[i];
		bool serves = bh__platform_sync_get_as_of_us(n->looks) &&
					  bh__configuration_state_is_trusted(&n->configuration, FLEET_TRUST_US, f->now_us);
		count += counts_(n) && !serves;
	}
	return count;
}

unsigned fleet_count_users(const Fleet *f, unsigned endpoint)
{
	char id[BH__NAME_LEN];
	unsigned count = 0;

	snprintf(id, sizeof id, "i-%u", endpoint);
	for (unsigned i = 0; i < f->options.nodes; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_find(f->node[i].registry, bh__hash_name(id));
		count += counts_(&f->node[i]) && e && bh__registered_endpoint_is_usable(e, f->now_us);
	}
	return count;
}

unsigned fleet_count_hall_users(const Fleet *f, unsigned hall)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->options.nodes; i++) {
		const Node *n = &f->node[i];
		bool uses = false;
		for (unsigned k = 0; k < bh__registry_get_count(n->registry); k++) {
			const BH__RegisteredEndpoint *e = bh__registry_get(n->registry, k);
			char name[BH__NAME_LEN];
			snprintf(name, sizeof name, "hall-%u", hall);
			uses |= !strcmp(e->entry.hall, name) && bh__registered_endpoint_is_usable(e, f->now_us);
		}
		count += counts_(n) && uses;
	}
	return count;
}

unsigned fleet_count_revivals(const Fleet *f)
{
	return f->revivals;
}

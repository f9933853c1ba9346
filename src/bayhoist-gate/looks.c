/* SPDX-License-Identifier: BSD-3-Clause */
/* Looks at the platform, shared among the nodes, since each costs a call. One node, the reader, looks often;
 * the others ask it what it saw and how long ago. A node that hears nothing fresh from the reader looks for
 * itself, so that one which is cut off from its peers, or whose reader is cut off from the platform, falls
 * behind no more than the reader would. */
#include "gate.h"

#include <string.h>
#include "bayhoist/hash.h"
#include "bayhoist/look.h"
#include "clock.h"
#include "log.h"

/* Between the reader's looks; a key taken away must stop in time. */
#define CONFIGURATION_US (700 * BH__MS_US)
#define ENDPOINTS_US (500 * BH__MS_US) /* the same for endpoints; a leaving one must be left in time */
#define ASK_US (500 * BH__MS_US)       /* between the other nodes' questions */
/* Between looks, and between questions, of a node that has started and knows nothing yet: it serves nobody.
 */
#define UNINFORMED_US (150 * BH__MS_US)
#define UNINFORMED_MAX_US                                                                                    \
	(5 * BH__SECOND_US)                  /* for which a node relies on a reader that knows nothing either */
#define ANSWER_US (300 * BH__MS_US)      /* for the reader's answer */
#define PASS_OVER_US (5 * BH__SECOND_US) /* for which a reader that was of no use is not asked */
#define USELESS_MAX 2 /* readers asked in turn; after so many of no use a node looks for itself */
/* Before a reader watches: nodes that start all think they read, until they know each other. */
#define WATCH_AFTER_US BH__SECOND_US
/* With what it knows older than this, a node looks for itself. */
#define CONFIGURATION_OLD_US (2 * BH__SECOND_US)
#define ENDPOINTS_OLD_US (1300 * BH__MS_US)

struct Looks {
	Gate *gate;
	uint64_t reader;   /* node; 0: none is asked */
	uint64_t asked_us; /* 0: no question is open */
	uint64_t next_ask_us;
	uint64_t passed_over; /* node that is not asked now */
	uint64_t pass_over_until_us;
	unsigned useless;          /* readers passed over since one was of use */
	uint64_t reads_since_us;   /* 0: this node is not the reader */
	bool configuration_wanted; /* there is a newer one */
	BH__Look configuration;
	BH__Look endpoints;
	uint64_t told_boot; /* of the registry that this node has from a reader */
	uint64_t told_version;
};

static uint64_t pick_reader_(const Looks *l, uint64_t now_us);
static void pass_over_(Looks *l, const char *cause, uint64_t now_us);
static void look_(Looks *l, bool reads, uint64_t now_us);
static void ask_(Looks *l, uint64_t now_us);
static void take_entries_(Looks *l, const BH__Message *m, uint64_t now_us);

Looks *looks_new(Gate *g)
{
	Looks *l = g_new0(Looks, 1);

	l->gate = g;
	return l;
}

void looks_delete(Looks *l)
{
	g_free(l);
}

/* Returns the reader: it follows from membership, as a scheduler does. */
static uint64_t pick_reader_(const Looks *l, uint64_t now_us)
{
	uint64_t other_than = now_us < l->pass_over_until_us ? l->passed_over : 0;

	return bh__members_pick_other(cluster_get_members(l->gate->cluster), bh__hash_name("platform-reader"),
								  other_than);
}

/* The reader was of no use: the next in rank is asked, at once. */
static void pass_over_(Looks *l, const char *cause, uint64_t now_us)
{
	const BH__MemberInfo *info = bh__members_find(cluster_get_members(l->gate->cluster), l->reader);

	log_event("looks", "what=passed-over node=%s cause=\"%s\"", info ? info->name : "", cause);
	l->passed_over = l->reader;
	l->useless++;
	l->pass_over_until_us = now_us + PASS_OVER_US;
	l->asked_us = 0;
	l->next_ask_us = l->useless < USELESS_MAX ? now_us : now_us + ASK_US;
}

/* Looks or asks if it is time. To be called several times a second. */
void looks_process_tick(Looks *l, uint64_t now_us)
{
	uint64_t self = bh__members_get_self(cluster_get_members(l->gate->cluster))->node_id;
	uint64_t reader;
	bool reads;

	if (l->asked_us && now_us >= l->asked_us + ANSWER_US)
		pass_over_(l, "no answer", now_us);
	reader = pick_reader_(l, now_us);
	reads = !reader || reader == self;
	if (reader != l->reader) {
		log_event("looks", "what=%s", reads ? "read" : "ask");
		l->reader = reader;
		l->asked_us = 0;
		l->reads_since_us = reads ? now_us : 0;
	}
	if (!reads && now_us >= l->next_ask_us)
		ask_(l, now_us);
	l->gate->port->watch_configuration(l->gate, reads && now_us >= l->reads_since_us + WATCH_AFTER_US);
	look_(l, reads, now_us);
	gate_note_registry(l->gate, 0);
}

/* Looks at the platform if this node is to read it, or knows nothing fresh. */
static void look_(Looks *l, bool reads, uint64_t now_us)
{
	Gate *g = l->gate;
	bool alone = l->useless >= USELESS_MAX;
	bool old_configuration = alone || now_us >= g->routing_looked_us + CONFIGURATION_OLD_US;
	bool old_endpoints = alone || now_us >= g->registry_looked_us + ENDPOINTS_OLD_US;
	uint64_t configuration_us = g->routing && !l->configuration_wanted ? CONFIGURATION_US : UNINFORMED_US;
	uint64_t endpoints_us = g->registry_looked_us ? ENDPOINTS_US : UNINFORMED_US;

	if ((reads || old_configuration || l->configuration_wanted) &&
		bh__look_process(&l->configuration, configuration_us, g->routing_looked_us,
						 reads || l->configuration_wanted, now_us)) {
		l->configuration_wanted = false;
		g->port->look_at_configuration(g);
	}
	if ((reads || old_endpoints) &&
		bh__look_process(&l->endpoints, endpoints_us, g->registry_looked_us, reads, now_us)) {
		l->told_boot = 0; /* what is read is no more what the reader told */
		g->port->look_at_endpoints(g);
	}
}

static void ask_(Looks *l, uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_LOOK_ASK};

	l->next_ask_us = now_us + (gate_knows_endpoints(l->gate) ? ASK_US : UNINFORMED_US);
	l->asked_us = now_us;
	m.as.look.asked_us = now_us;
	m.as.look.registry_boot = l->told_boot;
	m.as.look.registry_version = l->told_version;
	cluster_send(l->gate->cluster, l->reader, &m);
}

/* Another node asks what this one knows. */
void looks_process_ask(Looks *l, const BH__Message *ask, uint64_t now_us)
{
	Gate *g = l->gate;
	unsigned count = bh__registry_get_count(g->registry);
	BH__Message m = {.type = BH__MESSAGE_LOOK};

	m.as.look.asked_us = ask->as.look.asked_us;
	m.as.look.configuration_version = g->routing ? bh__routing_get_version(g->routing) : 0;
	m.as.look.configuration_age_us = now_us - g->routing_looked_us;
	m.as.look.registry_boot = g->boot_id;
	m.as.look.registry_version = bh__registry_get_version(g->registry);
	m.as.look.registry_age_us = now_us - g->registry_looked_us;
	m.as.look.has_entries = ask->as.look.registry_boot != g->boot_id ||
							ask->as.look.registry_version != m.as.look.registry_version;
	if (m.as.look.has_entries) {
		m.as.look.count = count;
		m.as.look.entry = g_new0(BH__EndpointEntry, count + 1);
		for (unsigned i = 0; i < count; i++)
			m.as.look.entry[i] = bh__registry_get(g->registry, i)->entry;
	}
	cluster_send(g->cluster, ask->from_node, &m);
	g_free(m.as.look.entry);
}

/* The reader answers. Its ages are taken as counted from the question. */
void looks_process_answer(Looks *l, const BH__Message *m, uint64_t now_us)
{
	Gate *g = l->gate;
	uint64_t asked_us = m->as.look.asked_us;
	uint64_t version = g->routing ? bh__routing_get_version(g->routing) : 0;

	if (!l->asked_us || asked_us != l->asked_us)
		return;
	l->asked_us = 0;
	if (m->as.look.configuration_version > version)
		l->configuration_wanted = true;
	else if (m->as.look.configuration_version == version && asked_us > m->as.look.configuration_age_us)
		gate_note_look(g, asked_us - m->as.look.configuration_age_us);
	if (m->as.look.registry_age_us >= ENDPOINTS_OLD_US) {
		if (gate_knows_endpoints(g) || now_us >= g->started_us + UNINFORMED_MAX_US)
			pass_over_(l, "knows nothing fresh", now_us);
		return;
	}
	l->useless = 0;
	if (m->as.look.has_entries)
		take_entries_(l, m, now_us);
	else if (m->as.look.registry_boot != l->told_boot)
		return;
	gate_note_registry(g, asked_us - m->as.look.registry_age_us);
}

static void take_entries_(Looks *l, const BH__Message *m, uint64_t now_us)
{
	BH__Registry *r = l->gate->registry;

	bh__registry_begin_list(r);
	for (uint32_t i = 0; i < m->as.look.count; i++)
		bh__registry_put(r, &m->as.look.entry[i]);
	bh__registry_end_list(r, now_us);
	l->told_boot = m->as.look.registry_boot;
	l->told_version = m->as.look.registry_version;
	log_event("looks", "what=endpoints-told count=%u version=%" G_GUINT64_FORMAT, m->as.look.count,
			  m->as.look.registry_version);
}

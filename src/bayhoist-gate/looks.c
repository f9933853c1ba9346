/* SPDX-License-Identifier: BSD-3-Clause */
/* The gateway's port for what nodes learn of the platform from each other (bayhoist/looks.h), and its log
 * lines. */
#include "gate.h"

#include <string.h>
#include "clock.h"
#include "log.h"

#define NAMED_MAX                                                                                            \
	4u /* endpoints that a line of the log names, of those that changed and of those that went */

/* Of the reads that the store bears, looks of all nodes together while it is away: 20 a second where it bears
 * 2,000. */
#define AWAY_LOOKS_SHARE 0.01

struct Looks {
	BH__LooksPort port; /* first: the library hands it back */
	Gate *gate;
	BH__Looks *looks;
};

static BH__LooksOptions options_(const Gate *g);
static void send_(BH__LooksPort *port, uint64_t node_id, BH__Message *m);
static void look_at_configuration_(BH__LooksPort *port);
static void look_at_endpoints_(BH__LooksPort *port, uint64_t limit_us);
static bool look_at_endpoints_again_(BH__LooksPort *port);
static void watch_configuration_(BH__LooksPort *port, bool wanted);
static BH__LooksConfiguration get_configuration_(BH__LooksPort *port);
static const char *get_configuration_text_(BH__LooksPort *port);
static bool take_configuration_(BH__LooksPort *port, const char *text, uint64_t looked_us);
static void confirm_configuration_(BH__LooksPort *port, uint64_t looked_us);
static void learnt_(BH__LooksPort *port);
static void said_(BH__LooksPort *port, BH__LooksEvent event, uint64_t node_id);
static void was_told_(BH__LooksPort *port, const BH__Message *m, unsigned was_count);

static const BH__LooksPort Port_ = {.send = send_,
									.look_at_configuration = look_at_configuration_,
									.look_at_endpoints = look_at_endpoints_,
									.look_at_endpoints_again = look_at_endpoints_again_,
									.watch_configuration = watch_configuration_,
									.get_configuration = get_configuration_,
									.get_configuration_text = get_configuration_text_,
									.take_configuration = take_configuration_,
									.confirm_configuration = confirm_configuration_,
									.learnt = learnt_,
									.said = said_,
									.was_told = was_told_};

/* The cluster must have been started. */
Looks *looks_new(Gate *g)
{
	Looks *l = g_new0(Looks, 1);
	BH__LooksOptions options = options_(g);

	l->port = Port_;
	l->gate = g;
	l->looks = bh__looks_new(&l->port, &options, cluster_get_members(g->cluster), g->registry);
	return l;
}

void looks_delete(Looks *l)
{
	if (!l)
		return;
	bh__looks_delete(l->looks);
	g_free(l);
}

BH__Looks *looks_get(const Looks *l)
{
	return l->looks;
}

/* Takes settings that have changed. */
void looks_follow_settings(Looks *l)
{
	BH__LooksOptions options = options_(l->gate);

	bh__looks_set_options(l->looks, &options);
}

static BH__LooksOptions options_(const Gate *g)
{
	return (BH__LooksOptions){.endpoint_drain_ms = g->settings.endpoint_drain_ms,
							  .configuration_ms = g->settings.configuration_ms,
							  .away_looks_per_s = MAX(g->settings.store_reads_per_s * AWAY_LOOKS_SHARE, 1.0),
							  .draw = g->boot_id};
}

static Gate *gate_(BH__LooksPort *port)
{
	return ((Looks *)port)->gate;
}

static void send_(BH__LooksPort *port, uint64_t node_id, BH__Message *m)
{
	cluster_send(gate_(port)->cluster, node_id, m);
}

static void look_at_configuration_(BH__LooksPort *port)
{
	gate_(port)->port->look_at_configuration(gate_(port));
}

static void look_at_endpoints_(BH__LooksPort *port, uint64_t limit_us)
{
	gate_(port)->port->look_at_endpoints(gate_(port), limit_us);
}

static bool look_at_endpoints_again_(BH__LooksPort *port)
{
	return gate_(port)->port->look_at_endpoints_again(gate_(port));
}

static void watch_configuration_(BH__LooksPort *port, bool wanted)
{
	gate_(port)->port->watch_configuration(gate_(port), wanted);
}

static BH__LooksConfiguration get_configuration_(BH__LooksPort *port)
{
	const Gate *g = gate_(port);

	return (BH__LooksConfiguration){.version = g->routing ? bh__routing_get_version(g->routing) : 0,
									.looked_us = g->routing_looked_us,
									.none_us = g->no_routing_us};
}

static const char *get_configuration_text_(BH__LooksPort *port)
{
	return gate_(port)->routing_text;
}

static bool take_configuration_(BH__LooksPort *port, const char *text, uint64_t looked_us)
{
	return gate_(port)->port->take_configuration(gate_(port), text, looked_us);
}

static void confirm_configuration_(BH__LooksPort *port, uint64_t looked_us)
{
	gate_note_look(gate_(port), looked_us);
}

static void learnt_(BH__LooksPort *port)
{
	gate_note_registry(gate_(port), 0);
}

static void said_(BH__LooksPort *port, BH__LooksEvent event, uint64_t node_id)
{
	const Gate *g = gate_(port);
	const BH__MemberInfo *info = bh__members_find(cluster_get_members(g->cluster), node_id);

	log_event("looks", "what=%s node=%s nodes=%u", BH__LooksEventString[event], info ? info->name : "",
			  bh__members_get_count(cluster_get_members(g->cluster)));
}

/* Writes how old what the node knows is, which place in the store's history it shows, and whom it asks. */
void looks_write_status(const Looks *l, struct evbuffer *out)
{
	BH__LooksStatus s = bh__looks_get_status(l->looks);
	const BH__MemberInfo *info = bh__members_find(cluster_get_members(l->gate->cluster), s.asked_node);
	uint64_t now_us = clock_now_us();
	const struct {
		const char *name;
		uint64_t value;
	} all[] = {{"endpoints_age_ms", s.known_us ? (now_us - s.known_us) / BH__MS_US : 0},
			   {"store_era", s.place.era},
			   {"store_revision", s.place.revision},
			   {"searches_for_ms", s.lost_since_us ? (now_us - s.lost_since_us) / BH__MS_US : 0},
			   {"looks_itself_in_ms", s.next_own_us > now_us ? (s.next_own_us - now_us) / BH__MS_US : 0}};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		evbuffer_add_printf(out, "bayhoist_%s %" G_GUINT64_FORMAT "\n", all[i].name, all[i].value);
	evbuffer_add_printf(out, "bayhoist_asks{node=\"%s\"} 1\n", info ? info->name : "");
}

/* Says what a source told of endpoints, and how many of these this node did not know. The first few that
 * changed are named, unless the whole table was told. */
static void was_told_(BH__LooksPort *port, const BH__Message *m, unsigned was_count)
{
	const Gate *g = gate_(port);
	const BH__MemberInfo *info = bh__members_find(cluster_get_members(g->cluster), m->from_node);
	GString *names = g_string_new(NULL);
	uint64_t now_us = clock_now_us();
	char place[BH__PLACE_TEXT_LEN];

	for (uint32_t i = 0; !m->as.sync.is_complete && i < MIN(m->as.sync.count, NAMED_MAX); i++)
		g_string_append_printf(names, "%s%s:%s", i ? "," : "", m->as.sync.fact[i].entry.id,
							   m->as.sync.fact[i].entry.draining ? "draining" : "ready");
	for (uint32_t i = 0; i < MIN(m->as.sync.gone_count, NAMED_MAX); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, m->as.sync.gone[i].endpoint_id);
		if (e)
			g_string_append_printf(names, "%s%s:gone", names->len ? "," : "", e->entry.id);
	}
	log_event("looks",
			  "what=endpoints-told node=%s count=%u gone=%u whole=%s place=%s"
			  " knew=%u age_ms=%" G_GUINT64_FORMAT " named=%s",
			  info ? info->name : "", m->as.sync.count, m->as.sync.gone_count,
			  m->as.sync.is_complete ? "yes" : "no", bh__place_write(m->as.sync.place, place), was_count,
			  (now_us - MIN(now_us, bh__looks_get_known_us(g->looks->looks))) / BH__MS_US, names->str);
	g_string_free(names, TRUE);
}

/* SPDX-License-Identifier: BSD-3-Clause */
/* The gateway's port for platform sync, by which nodes share the platform's state (bayhoist/platform_sync.h),
 * with its log lines and metrics. */
#include "gate.h"

#include <string.h>
#include "clock.h"
#include "log.h"

/* Maximum number of changed endpoints that a log line names, and of removed ones. */
#define LOGGED_ENDPOINTS_MAX 4u

/* Fraction of the store's read capacity that all nodes together use for platform reads while the store is
 * unavailable: 20 reads/s for a store with a capacity of 2,000 reads/s. */
#define UNAVAILABLE_READS_SHARE 0.01

struct PlatformSync {
	BH__PlatformSyncPort port; /* first member: callbacks cast it to the enclosing structure */
	Gate *gate;
	BH__PlatformSync *sync;
};

static BH__PlatformSyncOptions options_(const Gate *g);
static void send_(BH__PlatformSyncPort *port, uint64_t node_id, BH__Message *m);
static void read_configuration_(BH__PlatformSyncPort *port);
static void read_endpoints_(BH__PlatformSyncPort *port, uint64_t limit_us);
static bool resend_endpoints_read_(BH__PlatformSyncPort *port);
static void watch_configuration_(BH__PlatformSyncPort *port, bool wanted);
static const BH__ConfigurationState *get_configuration_(BH__PlatformSyncPort *port);
static const char *get_configuration_text_(BH__PlatformSyncPort *port);
static bool take_configuration_(BH__PlatformSyncPort *port, const char *text, uint64_t platform_read_us);
static void confirm_configuration_(BH__PlatformSyncPort *port, uint64_t version, uint64_t platform_read_us);
static void on_merged_(BH__PlatformSyncPort *port);
static void report_event_(BH__PlatformSyncPort *port, BH__PlatformSyncEvent event, uint64_t node_id);
static void report_received_(BH__PlatformSyncPort *port, const BH__Message *m, unsigned old_count);

static const BH__PlatformSyncPort Port_ = {.send = send_,
										   .read_configuration = read_configuration_,
										   .read_endpoints = read_endpoints_,
										   .resend_endpoints_read = resend_endpoints_read_,
										   .watch_configuration = watch_configuration_,
										   .get_configuration = get_configuration_,
										   .get_configuration_text = get_configuration_text_,
										   .take_configuration = take_configuration_,
										   .confirm_configuration = confirm_configuration_,
										   .merged = on_merged_,
										   .report_event = report_event_,
										   .report_received = report_received_};

/* Creates the platform sync of a gateway. The cluster must have been started. */
PlatformSync *platform_sync_new(Gate *g)
{
	PlatformSync *p = g_new0(PlatformSync, 1);
	BH__PlatformSyncOptions options = options_(g);

	p->port = Port_;
	p->gate = g;
	p->sync = bh__platform_sync_new(&p->port, &options, g->members, g->registry);
	g->sync = p->sync;
	return p;
}

void platform_sync_delete(PlatformSync *p)
{
	if (!p)
		return;
	bh__platform_sync_delete(p->sync);
	g_free(p);
}

/* Applies changed settings of the gateway. */
void platform_sync_apply_settings(PlatformSync *p)
{
	BH__PlatformSyncOptions options = options_(p->gate);

	bh__platform_sync_set_options(p->sync, &options);
}

/* Returns the options of platform sync for the gateway's settings. */
static BH__PlatformSyncOptions options_(const Gate *g)
{
	return (BH__PlatformSyncOptions){.endpoint_drain_ms = g->settings.endpoint_drain_ms,
									 .configuration_ms = g->settings.configuration_ms,
									 .unavailable_reads_per_s =
										 MAX(g->settings.store_reads_per_s * UNAVAILABLE_READS_SHARE, 1.0),
									 .random_seed = g->boot_id};
}

static Gate *gate_(BH__PlatformSyncPort *port)
{
	return ((PlatformSync *)port)->gate;
}

static void send_(BH__PlatformSyncPort *port, uint64_t node_id, BH__Message *m)
{
	cluster_send(gate_(port)->cluster, node_id, m);
}

static void read_configuration_(BH__PlatformSyncPort *port)
{
	gate_(port)->port->read_configuration(gate_(port));
}

static void read_endpoints_(BH__PlatformSyncPort *port, uint64_t limit_us)
{
	gate_(port)->port->read_endpoints(gate_(port), limit_us);
}

static bool resend_endpoints_read_(BH__PlatformSyncPort *port)
{
	return gate_(port)->port->resend_endpoints_read(gate_(port));
}

static void watch_configuration_(BH__PlatformSyncPort *port, bool wanted)
{
	gate_(port)->port->watch_configuration(gate_(port), wanted);
}

static const BH__ConfigurationState *get_configuration_(BH__PlatformSyncPort *port)
{
	return &gate_(port)->configuration;
}

static const char *get_configuration_text_(BH__PlatformSyncPort *port)
{
	return gate_(port)->routing_text;
}

static bool take_configuration_(BH__PlatformSyncPort *port, const char *text, uint64_t platform_read_us)
{
	return gate_(port)->port->take_configuration(gate_(port), text, platform_read_us);
}

static void confirm_configuration_(BH__PlatformSyncPort *port, uint64_t version, uint64_t platform_read_us)
{
	gate_note_configuration_confirmed(gate_(port), version, platform_read_us);
}

/* Applies registry changes that were merged from another node. */
static void on_merged_(BH__PlatformSyncPort *port)
{
	gate_note_registry(gate_(port), 0);
}

/* Logs an event of platform sync and the node that it concerns. */
static void report_event_(BH__PlatformSyncPort *port, BH__PlatformSyncEvent event, uint64_t node_id)
{
	const Gate *g = gate_(port);
	const BH__MemberInfo *info = bh__members_find(g->members, node_id);

	log_event("looks", "what=%s node=%s nodes=%u", BH__PlatformSyncEventString[event], info ? info->name : "",
			  bh__members_get_count(g->members));
}

/* Writes, as metrics, the age and the store version of this node's endpoint table, for how long it has been
 * out of sync, when it next reads the platform itself, and its sync source. */
void platform_sync_write_status(const PlatformSync *p, struct evbuffer *out)
{
	BH__PlatformSyncStatus s = bh__platform_sync_get_status(p->sync);
	const BH__MemberInfo *info = bh__members_find(p->gate->members, s.source_node);
	uint64_t now_us = clock_now_us();
	const struct {
		const char *name;
		uint64_t value;
	} all[] = {
		{"endpoints_age_ms", s.endpoints_as_of_us ? (now_us - s.endpoints_as_of_us) / BH__MS_US : 0},
		{"store_era", s.store_version.era},
		{"store_revision", s.store_version.revision},
		{"searches_for_ms", s.out_of_sync_since_us ? (now_us - s.out_of_sync_since_us) / BH__MS_US : 0},
		{"looks_itself_in_ms", s.next_own_read_us > now_us ? (s.next_own_read_us - now_us) / BH__MS_US : 0}};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		evbuffer_add_printf(out, "bayhoist_%s %" G_GUINT64_FORMAT "\n", all[i].name, all[i].value);
	evbuffer_add_printf(out, "bayhoist_asks{node=\"%s\"} 1\n", info ? info->name : "");
}

/* Logs an endpoint update from a sync source, and the number of endpoints that this node knew before. The
 * line names the first few removed endpoints and, unless the update holds the complete table, the first few
 * changed ones. */
static void report_received_(BH__PlatformSyncPort *port, const BH__Message *m, unsigned old_count)
{
	const Gate *g = gate_(port);
	const BH__MemberInfo *info = bh__members_find(g->members, m->from_node);
	GString *names = g_string_new(NULL);
	uint64_t now_us = clock_now_us();
	char store_version[BH__STORE_VERSION_TEXT_LEN];

	for (uint32_t i = 0; !m->as.sync.is_complete && i < MIN(m->as.sync.count, LOGGED_ENDPOINTS_MAX); i++)
		g_string_append_printf(names, "%s%s:%s", i ? "," : "", m->as.sync.fact[i].entry.id,
							   m->as.sync.fact[i].entry.draining ? "draining" : "ready");
	for (uint32_t i = 0; i < MIN(m->as.sync.gone_count, LOGGED_ENDPOINTS_MAX); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, m->as.sync.gone[i].endpoint_id);
		if (e)
			g_string_append_printf(names, "%s%s:gone", names->len ? "," : "", e->entry.id);
	}
	log_event("looks",
			  "what=endpoints-told node=%s count=%u gone=%u whole=%s place=%s"
			  " knew=%u age_ms=%" G_GUINT64_FORMAT " named=%s",
			  info ? info->name : "", m->as.sync.count, m->as.sync.gone_count,
			  m->as.sync.is_complete ? "yes" : "no",
			  bh__store_version_write(m->as.sync.store_version, store_version), old_count,
			  (now_us - MIN(now_us, bh__platform_sync_get_as_of_us(g->platform_sync->sync))) / BH__MS_US,
			  names->str);
	g_string_free(names, TRUE);
}

/* SPDX-License-Identifier: BSD-3-Clause */
/* What the parts of the gateway and the platform's binding tell of the configuration, the endpoints and the
 * duties: the state in Gate that all of them look at, and what follows for the others. */
#include "gate.h"

#include <string.h>
#include "bayhoist/field.h"
#include "bayhoist/last_endpoints.h"
#include "clock.h"
#include "crashes.h"
#include "log.h"

#define KEY_TRUST_FRACTION 0.92 /* part of key_trust_ms during which keys are trusted without a new read */

static void process_platform_read_(Gate *g, uint64_t platform_read_us);
static void process_era_(Gate *g);

/* Returns true if the API keys of the configuration may be trusted, because it was known to be the newest one
 * recently enough. */
bool gate_trusts_keys(const Gate *g, uint64_t now_us)
{
	uint64_t trust_us = (uint64_t)((double)g->settings.key_trust_ms * KEY_TRUST_FRACTION * BH__MS_US);

	return bh__configuration_state_is_trusted(&g->configuration, trust_us, now_us);
}

/* Returns true if this node is ready for callers: it is not shutting down, trusts its keys and knows
 * endpoints. */
bool gate_is_ready(const Gate *g, uint64_t now_us)
{
	return !g->shutdown.began_us && gate_trusts_keys(g, now_us) && bh__registry_get_count(g->registry) > 0;
}

/* Installs a routing that was decoded from `text` and takes ownership of it. `platform_read_us` is the start
 * time of the platform read that returned it; 0: the platform told a change. A routing that is not newer than
 * the current one is dropped. Returns false with an error if the current one has the same version and other
 * content. */
bool gate_set_routing(Gate *g, BH__Routing *routing, const char *text, uint64_t platform_read_us,
					  GError **error)
{
	uint64_t version = bh__routing_get_version(routing);
	uint64_t now_us = clock_now_us();

	if (!bh__configuration_state_is_newer(&g->configuration, version)) {
		bh__routing_unref(routing);
		if (version < g->configuration.version || bh__json_is_same(text, g->routing_text))
			return true;
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
					"version %" G_GUINT64_FORMAT " is in force with other content", version);
		return false;
	}
	log_event("configuration",
			  "what=installed version=%" G_GUINT64_FORMAT " was=%" G_GUINT64_FORMAT " bytes=%zu", version,
			  g->configuration.version, strlen(text));
	bh__routing_unref(g->routing);
	g->routing = routing;
	g_free(g->routing_text);
	g->routing_text = g_strdup(text);
	cluster_apply_routing(g->cluster, now_us);
	bh__configuration_state_note_installed(&g->configuration, version, bh__routing_get_refusal_count(routing),
										   platform_read_us, now_us);
	configuration_log_refusals(g);
	configuration_log_change(g);
	process_platform_read_(g, platform_read_us);
	bh__platform_sync_process_update(g->sync, now_us);
	return true;
}

/* Records that the platform read begun at `platform_read_us` has found no configuration: operators have not
 * written one yet. */
void gate_note_no_configuration(Gate *g, uint64_t platform_read_us)
{
	bh__configuration_state_note_absent(&g->configuration, platform_read_us);
	gate_note_configuration_failed(g);
}

/* Records that the platform read begun at `platform_read_us` showed a configuration that cannot be decoded,
 * with this version; 0: its version cannot be decoded either. `cause`: why not; NULL: as told before. The one
 * in force stays, and is trusted no longer than it was known to be the newest. */
void gate_note_configuration_refused(Gate *g, uint64_t version, const char *cause, uint64_t platform_read_us)
{
	if (cause) {
		g_free(g->refused_cause);
		g->refused_cause = g_strdup(cause);
	}
	bh__configuration_state_note_refused(&g->configuration, version, platform_read_us, clock_now_us());
	configuration_log_change(g);
	bh__last_endpoints_note_halls_read(g->registry, platform_read_us);
	if (!g->routing)
		gate_note_configuration_failed(g);
}

/* Records that a configuration read has begun, which completes or fails within `answer_us`. */
void gate_note_configuration_requested(Gate *g, uint64_t answer_us)
{
	bh__startup_state_note_asked(&g->startup_state, answer_us, clock_now_us());
}

/* Records that a configuration read has failed. Calls that wait for the configuration are refused unless
 * another node supplies it at once. */
void gate_note_configuration_failed(Gate *g)
{
	bh__startup_state_note_failed(&g->startup_state);
	calls_process_startup_state(g);
}

/* Records that a platform read of this node, begun at `platform_read_us`, showed the installed configuration
 * or an older one. */
void gate_note_configuration_shown(Gate *g, uint64_t platform_read_us)
{
	bh__configuration_state_note_shown(&g->configuration, platform_read_us, clock_now_us());
	configuration_log_change(g);
	process_platform_read_(g, platform_read_us);
}

/* Records that another node's platform read, begun at `platform_read_us`, showed this version to be the
 * newest. */
void gate_note_configuration_confirmed(Gate *g, uint64_t version, uint64_t platform_read_us)
{
	bh__configuration_state_note_confirmed(&g->configuration, version, platform_read_us);
	process_platform_read_(g, platform_read_us);
}

/* Handles what follows from a platform read of the configuration and of the halls' states, begun at
 * `platform_read_us`. */
static void process_platform_read_(Gate *g, uint64_t platform_read_us)
{
	bh__last_endpoints_note_halls_read(g->registry, platform_read_us);
	if (g->routing && g->configuration.newest_read_us)
		bh__startup_state_note_configuration(&g->startup_state, clock_now_us());
	calls_process_startup_state(g);
}

/* Returns true once the configuration and the endpoints have been loaded since the start of the process. */
bool gate_has_endpoints(const Gate *g)
{
	return bh__startup_state_has_endpoints(&g->startup_state);
}

/* Adds a node that the store records as the holder of `duty`. It counts as alive until it answers or is found
 * to be unresponsive. */
void gate_add_unconfirmed_node(Gate *g, const char *duty, const BH__MemberInfo *info)
{
	log_event("duty", "what=presumed duty=%s node=%s", duty, info->name);
	cluster_add_unconfirmed(g->cluster, info);
}

/* Records that the duties have been read from the store as far as possible. */
void gate_note_duties(Gate *g)
{
	bh__startup_state_note_duties(&g->startup_state, clock_now_us());
	calls_process_startup_state(g);
}

/* Merges a stored quarantine entry; its `since_us` is its age. */
void gate_merge_quarantined(Gate *g, const BH__QuarantineEntry *aged)
{
	crashes_merge_entry(g->crashes, aged, clock_now_us());
}

/* Handles an updated registry, which shows the endpoints as of the platform read begun at `platform_read_us`;
 * 0: no read has confirmed it. The planners apply endpoints that were added or removed. */
void gate_note_registry(Gate *g, uint64_t platform_read_us)
{
	if (platform_read_us)
		bh__platform_sync_note_read_answered(g->sync, platform_read_us, clock_now_us());
	if (bh__platform_sync_get_as_of_us(g->sync))
		bh__startup_state_note_endpoints(&g->startup_state, clock_now_us());
	bh__registry_process_tick(g->registry, clock_now_us());
	process_era_(g);
	halls_log_changes(g);
	if (g->registry_version_applied != bh__registry_get_version(g->registry)) {
		g->registry_version_applied = bh__registry_get_version(g->registry);
		cluster_apply_registry(g->cluster, clock_now_us());
		crashes_apply_registry(g->crashes, clock_now_us());
	}
	bh__platform_sync_process_update(g->sync, clock_now_us());
	calls_process_startup_state(g);
}

/* Detects a restore of the platform's store from a backup by its new era, and has the nodes write their
 * records again. */
static void process_era_(Gate *g)
{
	BH__StoreVersion store_version = bh__registry_get_store_version(g->registry);

	if (!bh__store_version_is_zero(g->store_version_seen) && store_version.era > g->store_version_seen.era) {
		log_event("store", "what=era was=%" G_GUINT64_FORMAT " now=%" G_GUINT64_FORMAT,
				  g->store_version_seen.era, store_version.era);
		cluster_apply_era(g->cluster);
		crashes_process_restore(g->crashes);
	}
	g->store_version_seen = store_version;
}

/* Returns the retry budget of a service, of which each node has an equal share. The budget is created on
 * first use. */
BH__ServiceRetryBudget *gate_get_budget(Gate *g, const char *service)
{
	BH__ServiceRetryBudget *b = g_hash_table_lookup(g->budgets, service);

	if (!b) {
		b = g_new0(BH__ServiceRetryBudget, 1);
		bh__service_retry_budget_init(b, g->settings.repeat_share, g->settings.repeat_extra);
		g_hash_table_insert(g->budgets, g_strdup(service), b);
	}
	bh__service_retry_budget_set_nodes(b, g->settings.repeat_extra, cluster_count_nodes(g->cluster));
	return b;
}

/* SPDX-License-Identifier: BSD-3-Clause */
/* Reads and validates the gateway's settings. */
#include "settings.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <string.h>
#include "settings_file.h"

static const BH__Field Fields_[] = {
	BH__STRING_FIELD(GateSettings, name, true),
	BH__STRING_FIELD(GateSettings, hall, true),
	BH__STRING_FIELD(GateSettings, region, false),
	BH__STRING_FIELD(GateSettings, caller_address, true),
	BH__STRING_FIELD(GateSettings, readiness_address, true),
	BH__STRING_FIELD(GateSettings, directory_address, true),
	BH__STRING_FIELD(GateSettings, control_address, true),
	BH__STRING_FIELD(GateSettings, peer_address, true),
	BH__STRING_FIELD(GateSettings, peer_key, true),
	BH__LIST_FIELD(GateSettings, seeds, 64),
	BH__STRING_FIELD(GateSettings, store_address, true),
	BH__STRING_FIELD(GateSettings, endpoint_source, false),
	BH__STRING_FIELD(GateSettings, peer_listen_address, false),
	BH__U64_FIELD(GateSettings, max_connections, false, 16, 1000000),
	BH__U64_FIELD(GateSettings, stop_grace_ms, false, 100, 3600000),
	BH__U64_FIELD(GateSettings, endpoint_drain_ms, false, 100, 3600000),
	BH__U64_FIELD(GateSettings, hall_drain_ms, false, 0, 3600000),
	BH__U64_FIELD(GateSettings, configuration_ms, false, 100, 3600000),
	BH__U64_FIELD(GateSettings, key_trust_ms, false, 0, 3600000),
	BH__U64_FIELD(GateSettings, memory_hold_max_ms, false, 100, 3600000),
	BH__U64_FIELD(GateSettings, directory_ttl_max_s, false, 1, 86400),
	BH__REAL_FIELD(GateSettings, cores, 0, 10000),
	BH__U64_FIELD(GateSettings, memory_mb, false, 0, 10000000),
	BH__REAL_FIELD(GateSettings, link_mbps, 0, 1e6),
	BH__REAL_FIELD(GateSettings, store_reads_per_s, 1, 1e9),
	BH__REAL_FIELD(GateSettings, repeat_share, 0, 10),
	BH__REAL_FIELD(GateSettings, repeat_extra, 0, 1000000),
};

static void set_defaults_(GateSettings *s);
static bool check_(const void *settings, GError **error);

/* Sets the defaults of the optional settings; all others are empty or 0. */
static void set_defaults_(GateSettings *s)
{
	memset(s, 0, sizeof *s);
	s->max_connections = 3000;
	s->stop_grace_ms = 8000;
	s->endpoint_drain_ms = 2000;
	s->store_reads_per_s = 2000;
	s->configuration_ms = 2000;
	s->key_trust_ms = 5000;
	s->memory_hold_max_ms = 20000;
	s->directory_ttl_max_s = 5;
	s->repeat_share = 0.1;
	s->repeat_extra = 20;
}

/* Loads the settings file `path`. On failure, returns false and sets an error that names the field, the line
 * and the cause. */
bool gate_settings_load(GateSettings *s, const char *path, GError **error)
{
	static const SettingsKind Kind = {Fields_, G_N_ELEMENTS(Fields_), check_};

	set_defaults_(s);
	return settings_file_read(&Kind, path, s, error);
}

/* Frees the memory that the settings own. */
void gate_settings_finish(GateSettings *s)
{
	g_strfreev(s->seeds);
	s->seeds = NULL;
}

/* Validates all addresses. Returns false and sets an error for the first invalid one. */
static bool check_(const void *settings, GError **error)
{
	const GateSettings *s = settings;
	struct in_addr ip;
	const struct {
		const char *field;
		const char *address;
	} all[] = {{"caller_address", s->caller_address},       {"readiness_address", s->readiness_address},
			   {"directory_address", s->directory_address}, {"control_address", s->control_address},
			   {"peer_address", s->peer_address},           {"store_address", s->store_address}};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		if (!settings_check_address(all[i].field, all[i].address, error))
			return false;
	if (s->peer_listen_address[0] &&
		!settings_check_address("peer_listen_address", s->peer_listen_address, error))
		return false;
	if (s->endpoint_source[0] && evutil_inet_pton(AF_INET, s->endpoint_source, &ip) != 1) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
					"field \"endpoint_source\": \"%s\" is no IPv4 address", s->endpoint_source);
		return false;
	}
	return true;
}

/* SPDX-License-Identifier: BSD-3-Clause */
/* Reading and checking the gateway's settings. */
#include "settings.h"

#include <string.h>
#include "bayhoist/field.h"
#include "web.h"

#define STRING_(F, REQ)                                                                                      \
	{                                                                                                        \
#F, BH__FIELD_STRING, offsetof(GateSettings, F), REQ, 0, sizeof(((GateSettings *)0)->F)              \
	}
#define U64_(F, MIN, MAX)                                                                                    \
	{                                                                                                        \
#F, BH__FIELD_U64, offsetof(GateSettings, F), false, MIN, MAX                                        \
	}
#define REAL_(F, MIN, MAX)                                                                                   \
	{                                                                                                        \
#F, BH__FIELD_REAL, offsetof(GateSettings, F), false, MIN, MAX                                       \
	}

static const BH__Field Fields_[] = {
	STRING_(name, true),
	STRING_(hall, true),
	STRING_(region, false),
	STRING_(caller_address, true),
	STRING_(readiness_address, true),
	STRING_(directory_address, true),
	STRING_(control_address, true),
	STRING_(peer_address, true),
	STRING_(peer_key, true),
	{"seeds", BH__FIELD_LIST, offsetof(GateSettings, seeds), false, 0, 64},
	STRING_(store_address, true),
	U64_(max_connections, 16, 1000000),
	U64_(stop_grace_ms, 100, 3600000),
	U64_(endpoint_drain_ms, 100, 3600000),
	U64_(configuration_ms, 100, 3600000),
	U64_(key_trust_ms, 0, 3600000),
	U64_(memory_hold_max_ms, 100, 3600000),
	U64_(directory_ttl_max_s, 1, 86400),
	REAL_(repeat_share, 0, 10),
	REAL_(repeat_extra, 0, 1000000),
};

static void set_defaults_(GateSettings *s);
static bool check_(const GateSettings *s, GError **error);

static void set_defaults_(GateSettings *s)
{
	memset(s, 0, sizeof *s);
	s->max_connections = 3000;
	s->stop_grace_ms = 8000;
	s->endpoint_drain_ms = 2000;
	s->configuration_ms = 2000;
	s->key_trust_ms = 5000;
	s->memory_hold_max_ms = 20000;
	s->directory_ttl_max_s = 5;
	s->repeat_share = 0.1;
	s->repeat_extra = 20;
}

/* Loads the file `path`. On failure the error names the field or line and the cause. */
bool gate_settings_load(GateSettings *s, const char *path, GError **error)
{
	char *text = NULL;
	gsize len = 0;
	struct json_object *root;
	bool ok;

	set_defaults_(s);
	if (!g_file_get_contents(path, &text, &len, error))
		return false;
	root = bh__json_parse(text, len, error);
	ok = root && bh__fields_read(Fields_, G_N_ELEMENTS(Fields_), root, path, s, error) && check_(s, error);
	json_object_put(root);
	g_free(text);
	return ok;
}

void gate_settings_finish(GateSettings *s)
{
	g_strfreev(s->seeds);
	s->seeds = NULL;
}

static bool check_(const GateSettings *s, GError **error)
{
	const struct {
		const char *field;
		const char *address;
	} all[] = {{"caller_address", s->caller_address},       {"readiness_address", s->readiness_address},
			   {"directory_address", s->directory_address}, {"control_address", s->control_address},
			   {"peer_address", s->peer_address},           {"store_address", s->store_address}};
	char ip[BH__ADDRESS_LEN];
	uint16_t port;

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		if (web_split_address(all[i].address, ip, sizeof ip, &port))
			continue;
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "field \"%s\": \"%s\" is not IP:port",
					all[i].field, all[i].address);
		return false;
	}
	return true;
}

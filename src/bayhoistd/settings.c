/* SPDX-License-Identifier: BSD-3-Clause */
/* Reading and checking the daemon's settings. */
#include "settings.h"

#include <string.h>
#include "settings_file.h"

static const BH__Field Fields_[] = {
	BH__STRING_FIELD(Settings, name, true),
	BH__STRING_FIELD(Settings, hall, true),
	BH__STRING_FIELD(Settings, caller_address, true),
	BH__STRING_FIELD(Settings, peer_address, true),
	BH__LIST_FIELD(Settings, seeds, 64),
	BH__STRING_FIELD(Settings, store_address, true),
	BH__STRING_FIELD(Settings, vm_list_address, false),
	BH__STRING_FIELD(Settings, peer_key, true),
	BH__STRING_FIELD(Settings, operator_key_sha256, true),
	BH__STRING_FIELD(Settings, tls_certificate, false),
	BH__STRING_FIELD(Settings, tls_key, false),
	BH__STRING_FIELD(Settings, tls_ca, false),
	BH__U64_FIELD(Settings, max_requests, false, 1, 1000000),
	BH__U64_FIELD(Settings, max_connections, false, 16, 1000000),
	BH__U64_FIELD(Settings, max_body_bytes, false, 1024, 1 << 30),
	BH__U64_FIELD(Settings, idle_s, false, 1, 86400),
	BH__U64_FIELD(Settings, once_entries, false, 1, 100000000),
	BH__U64_FIELD(Settings, once_answer_bytes, false, 0, UINT64_C(1) << 40),
	BH__REAL_FIELD(Settings, store_reads_per_s, 0, 2000),
	BH__REAL_FIELD(Settings, store_writes_per_s, 0, 100),
	BH__U64_FIELD(Settings, leave_grace_ms, false, 0, 3600000),
};

static void set_defaults_(Settings *s);
static bool check_(const void *settings, GError **error);

static void set_defaults_(Settings *s)
{
	memset(s, 0, sizeof *s);
	s->max_requests = 2000;
	s->max_connections = 8000;
	s->max_body_bytes = 16 * 1024 * 1024;
	s->idle_s = 120;
	s->once_entries = 100000;
	s->once_answer_bytes = 32 * 1024 * 1024;
	s->store_reads_per_s = 5;
	s->store_writes_per_s = 2;
	s->leave_grace_ms = 6000;
}

/* Loads the file `path`. On failure the error names the field, the line and the cause. */
bool settings_load(Settings *s, const char *path, GError **error)
{
	static const SettingsKind Kind = {Fields_, G_N_ELEMENTS(Fields_), check_};

	set_defaults_(s);
	return settings_file_read(&Kind, path, s, error);
}

static bool check_(const void *settings, GError **error)
{
	const Settings *s = settings;

	if (!settings_check_address("caller_address", s->caller_address, error) ||
		!settings_check_address("peer_address", s->peer_address, error) ||
		!settings_check_address("store_address", s->store_address, error))
		return false;
	if (s->vm_list_address[0] && !settings_check_address("vm_list_address", s->vm_list_address, error))
		return false;
	for (char **seed = s->seeds; seed && *seed; seed++)
		if (!settings_check_address("seeds", *seed, error))
			return false;
	if (strlen(s->peer_key) < 16) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
					"field \"peer_key\": must have at least 16 characters");
		return false;
	}
	if (strlen(s->operator_key_sha256) != 64 || strspn(s->operator_key_sha256, "0123456789abcdef") != 64) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
					"field \"operator_key_sha256\": must be 64 lower-case hex digits");
		return false;
	}
	if (!s->tls_certificate[0] != !s->tls_key[0]) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
					"field \"%s\": a certificate and its key go together",
					s->tls_key[0] ? "tls_key" : "tls_certificate");
		return false;
	}
	return true;
}

/* Frees what the settings hold. */
void settings_finish(Settings *s)
{
	g_strfreev(s->seeds);
	s->seeds = NULL;
}

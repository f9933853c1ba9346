/* SPDX-License-Identifier: BSD-3-Clause */
/* The daemon's settings: JSON with comments, checked. */
#ifndef BAYHOISTD_SETTINGS_H
#define BAYHOISTD_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include "bayhoist/types.h"

#define SETTINGS_PATH_LEN 256
#define SETTINGS_SECRET_LEN 128

typedef struct {
	char name[BH__NAME_LEN];
	char hall[BH__NAME_LEN];
	char caller_address[BH__ADDRESS_LEN];
	char peer_address[BH__ADDRESS_LEN];
	char **seeds;
	char store_address[BH__ADDRESS_LEN];
	char vm_list_address[BH__ADDRESS_LEN];
	char peer_key[SETTINGS_SECRET_LEN];
	char operator_key_sha256[SETTINGS_SECRET_LEN];
	char tls_certificate[SETTINGS_PATH_LEN];
	char tls_key[SETTINGS_PATH_LEN];
	char tls_ca[SETTINGS_PATH_LEN];
	uint64_t max_requests;
	uint64_t max_connections;
	uint64_t max_body_bytes;
	uint64_t idle_s;
	uint64_t once_entries;
	uint64_t once_answer_bytes;
	double store_reads_per_s;
	double store_writes_per_s;
	uint64_t leave_grace_ms;
} Settings;

bool settings_load(Settings *s, const char *path, GError **error);
void settings_finish(Settings *s);

#endif

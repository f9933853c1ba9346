/* SPDX-License-Identifier: BSD-3-Clause */
/* Reading a program's file of settings: JSON with comments, checked by a table of fields. */
#ifndef SHARE_SETTINGS_FILE_H
#define SHARE_SETTINGS_FILE_H

#include "bayhoist/field.h"

/* What the settings of a program are made of. */
typedef struct {
	const BH__Field *fields;
	size_t field_count;
	bool (*check)(const void *settings, GError **error); /* beyond what the fields say */
} SettingsKind;

bool settings_file_read(const SettingsKind *kind, const char *path, void *settings, GError **error);
bool settings_check_address(const char *field, const char *address, GError **error);

#endif

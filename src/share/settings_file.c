/* SPDX-License-Identifier: BSD-3-Clause */
/* Reading and checking a file of settings. */
#include "settings_file.h"

#include "bayhoist/address.h"
#include "web.h"

static void tell_where_(const char *path, const char *text, GError **error);

/* Reads the file `path` over the defaults that `settings` holds. On failure the error names the file, the
 * line if it is known, the field and the cause. */
bool settings_file_read(const SettingsKind *kind, const char *path, void *settings, GError **error)
{
	char *text = NULL;
	gsize len = 0;
	struct json_object *root;
	bool ok;

	if (!g_file_get_contents(path, &text, &len, error))
		return false;
	root = bh__json_parse(text, len, error);
	ok = root && bh__fields_decode(kind->fields, kind->field_count, root, "settings", settings, error) &&
		 kind->check(settings, error);
	json_object_put(root);
	if (!ok)
		tell_where_(path, text, error);
	g_free(text);
	return ok;
}

/* Puts the file and, if it is known, the line before the error's message. */
static void tell_where_(const char *path, const char *text, GError **error)
{
	unsigned line;

	if (!error || !*error)
		return;
	line = bh__field_find_line(text, (*error)->message);
	if (line)
		g_prefix_error(error, "%s: line %u: ", path, line);
	else
		g_prefix_error(error, "%s: ", path);
}

/* Returns true if `address` is IP:port; else the error names the field. */
bool settings_check_address(const char *field, const char *address, GError **error)
{
	char ip[BH__ADDRESS_LEN];
	uint16_t port;

	if (bh__address_split(address, ip, sizeof ip, &port))
		return true;
	g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "field \"%s\": \"%s\" is not IP:port", field,
				address);
	return false;
}

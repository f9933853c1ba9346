/* SPDX-License-Identifier: BSD-3-Clause */
/* The time line: the events of all processes merged by time, as text and as a picture. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include "ctl.h"

#define SVG_WIDTH 1400
#define SVG_LEFT 160
#define SVG_ROW 28
#define SVG_TOP 40

typedef struct {
	uint64_t time_us;
	char *process;
	char *event;
	char *line;
} Entry;

static void free_entry_(gpointer entry);
static gint compare_(gconstpointer a, gconstpointer b);
static void add_lines_(GPtrArray *entries, GHashTable *seen, const char *text);
static void add_node_(const Options *o, GPtrArray *entries, GHashTable *seen, const char *address);
static void print_(const GPtrArray *entries);
static bool write_svg_(const GPtrArray *entries, const char *path);

static void free_entry_(gpointer entry)
{
	Entry *e = entry;
	g_free(e->process);
	g_free(e->event);
	g_free(e->line);
	g_free(e);
}

static gint compare_(gconstpointer a, gconstpointer b)
{
	const Entry *const *x = a;
	const Entry *const *y = b;
	return (*x)->time_us < (*y)->time_us ? -1 : (*x)->time_us > (*y)->time_us;
}

/* Adds the lines that tell a time. One that is both in a log and held by a node is added once. */
static void add_lines_(GPtrArray *entries, GHashTable *seen, const char *text)
{
	char **line = g_strsplit(text, "\n", -1);

	for (char **l = line; *l; l++) {
		char *time = ctl_log_value(*l, "time_us");
		char *process = ctl_log_value(*l, "process");
		char *event = ctl_log_value(*l, "event");
		char *what = strstr(*l, " event=");
		char *key = time && process && what ? g_strdup_printf("%s %" G_GUINT64_FORMAT "%s", process,
															  g_ascii_strtoull(time, NULL, 10) / 1000, what)
											: NULL;
		if (key && event && g_hash_table_add(seen, key)) {
			Entry *e = g_new0(Entry, 1);
			e->time_us = g_ascii_strtoull(time, NULL, 10);
			e->process = g_strdup(process);
			e->event = g_strdup(event);
			e->line = g_strdup(what + strlen(" event="));
			g_ptr_array_add(entries, e);
		}
		g_free(time);
		g_free(process);
		g_free(event);
	}
	g_strfreev(line);
}

static void add_node_(const Options *o, GPtrArray *entries, GHashTable *seen, const char *address)
{
	guint before;
	unsigned page = 0;

	do {
		char path[64];
		FetchCall call = {
			.address = address, .ca = o->ca, .key = o->key, .method = EVHTTP_REQ_GET, .path = path};
		FetchReply reply;
		before = entries->len;
		g_snprintf(path, sizeof path, "/admin/v1/events?since=%u", page);
		fetch(&call, &reply);
		if (reply.status == 200)
			add_lines_(entries, seen, reply.body);
		g_free(reply.body);
		page += 2000;
	} while (entries->len > before);
}

static void print_(const GPtrArray *entries)
{
	for (guint i = 0; i < entries->len; i++) {
		const Entry *e = g_ptr_array_index(entries, i);
		const Entry *first = g_ptr_array_index(entries, 0);
		printf("%10.3f  %-16s %s\n", (double)(e->time_us - first->time_us) / 1e6, e->process, e->line);
	}
}

/* Writes a picture: a row for each process, a mark for each event, coloured by its kind. */
static bool write_svg_(const GPtrArray *entries, const char *path)
{
	static const char *const Colours[] = {"#1b9e77", "#d95f02", "#7570b3", "#e7298a",
										  "#66a61e", "#e6ab02", "#a6761d"};
	GHashTable *rows = g_hash_table_new(g_str_hash, g_str_equal);
	FILE *out = fopen(path, "w");
	uint64_t first_us = entries->len ? ((const Entry *)g_ptr_array_index(entries, 0))->time_us : 0;
	uint64_t last_us =
		entries->len ? ((const Entry *)g_ptr_array_index(entries, entries->len - 1))->time_us : 0;
	double scale = (SVG_WIDTH - SVG_LEFT - 20) / (double)MAX(last_us - first_us, 1);

	if (!out) {
		g_hash_table_unref(rows);
		return false;
	}
	for (guint i = 0; i < entries->len; i++) {
		Entry *e = g_ptr_array_index(entries, i);
		if (!g_hash_table_contains(rows, e->process))
			g_hash_table_insert(rows, e->process, GUINT_TO_POINTER(g_hash_table_size(rows)));
	}
	fprintf(out,
			"<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%u' font-family='sans-serif' "
			"font-size='12'>\n",
			SVG_WIDTH, SVG_TOP + SVG_ROW * (g_hash_table_size(rows) + 1));
	fprintf(out, "<text x='%d' y='20'>%.1f s in all; hold the pointer over a mark for its event</text>\n",
			SVG_LEFT, (double)(last_us - first_us) / 1e6);
	for (guint i = 0; i < entries->len; i++) {
		const Entry *e = g_ptr_array_index(entries, i);
		unsigned row = GPOINTER_TO_UINT(g_hash_table_lookup(rows, e->process));
		char *title = g_markup_escape_text(e->line, -1);
		fprintf(out, "<circle cx='%.1f' cy='%u' r='4' fill='%s'><title>%.3f s %s</title></circle>\n",
				SVG_LEFT + (double)(e->time_us - first_us) * scale, SVG_TOP + row * SVG_ROW,
				Colours[g_str_hash(e->event) % G_N_ELEMENTS(Colours)], (double)(e->time_us - first_us) / 1e6,
				title);
		g_free(title);
	}
	GHashTableIter it;
	gpointer name;
	gpointer row;
	g_hash_table_iter_init(&it, rows);
	while (g_hash_table_iter_next(&it, &name, &row))
		fprintf(out, "<text x='8' y='%u'>%s</text>\n", SVG_TOP + 4 + GPOINTER_TO_UINT(row) * SVG_ROW,
				(const char *)name);
	fputs("</svg>\n", out);
	fclose(out);
	g_hash_table_unref(rows);
	return true;
}

int ctl_timeline(const Options *o)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(free_entry_);
	GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int result = EX_OK;

	for (guint i = 0; i < o->logs->len; i++) {
		char *text = NULL;
		if (g_file_get_contents(g_ptr_array_index(o->logs, i), &text, NULL, NULL))
			add_lines_(entries, seen, text);
		else
			fprintf(stderr, "bayhoistctl: %s cannot be read\n", (const char *)g_ptr_array_index(o->logs, i));
		g_free(text);
	}
	if (o->node) {
		int status;
		struct json_object *root = ctl_get(o, o->node, "/admin/v1/status", &status);
		struct json_object *nodes = status == 200 ? json_object_object_get(root, "nodes") : NULL;
		for (size_t i = 0; nodes && i < json_object_array_length(nodes); i++)
			add_node_(o, entries, seen, ctl_text(json_object_array_get_idx(nodes, i), "caller_address"));
		if (status != 200)
			result = ctl_fail(status, root);
		else
			json_object_put(root);
	}
	g_ptr_array_sort(entries, compare_);
	print_(entries);
	if (o->svg && !write_svg_(entries, o->svg)) {
		fprintf(stderr, "bayhoistctl: %s cannot be written\n", o->svg);
		result = EX_CANTCREAT;
	}
	g_ptr_array_unref(entries);
	g_hash_table_unref(seen);
	return result;
}

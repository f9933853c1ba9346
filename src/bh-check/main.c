/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-check: judges histories. It reads only what callers (bh-load) and stand-ins logged, and the nodes' log
 * of configuration revisions; it shares no code with what decided. */
#include <getopt.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include "version.h"

#define CONFIG_FORCE_US 8000000

/* What is known of one call, by its prompt's hash. */
typedef struct {
	char hash[20];
	bool called;       /* a caller made it */
	bool once;         /* it must not run twice */
	bool may_have_run; /* some try ended without "not run" */
	bool told_not_run; /* some try was told so */
	bool ended;
	char outcome[24];
	unsigned whole; /* whole answers */
	unsigned runs;  /* that endpoints logged */
} Call;

/* One life of one node. */
typedef struct {
	char *life;
	uint64_t first_us;
	uint64_t last_us;
	GArray *installed; /* pairs of time and revision */
} Life;

typedef struct {
	GHashTable *calls;
	GHashTable *lives;
	GArray *applied; /* pairs of time and revision */
	uint64_t wrong;
	uint64_t held_bytes;
	uint64_t late_work;
	uint64_t peak_reads;
	uint64_t peak_writes;
	bool safety_only;   /* judge no times */
	unsigned runs_read; /* so that a history that tells nothing shows */
	unsigned held_read;
	GPtrArray *violations;
} Check;

static char *value_(const char *line, const char *key)
{
	char *needle = g_strdup_printf(" %s=", key);
	const char *at = strstr(line, needle);
	char *value = at ? g_strndup(at + strlen(needle), strcspn(at + strlen(needle), " \n")) : NULL;
	g_free(needle);
	return value;
}

static uint64_t number_(const char *line, const char *key)
{
	char *text = value_(line, key);
	uint64_t n = text ? g_ascii_strtoull(text, NULL, 10) : 0;
	g_free(text);
	return n;
}

static Call *call_(Check *k, const char *line)
{
	char *hash = value_(line, "hash");
	Call *c = hash ? g_hash_table_lookup(k->calls, hash) : NULL;

	if (hash && !c) {
		c = g_new0(Call, 1);
		g_strlcpy(c->hash, hash, sizeof c->hash);
		g_hash_table_insert(k->calls, c->hash, c);
	}
	g_free(hash);
	return c;
}

static void violation_(Check *k, const char *format, ...) G_GNUC_PRINTF(2, 3);
static void violation_(Check *k, const char *format, ...)
{
	va_list args;
	va_start(args, format);
	g_ptr_array_add(k->violations, g_strdup_vprintf(format, args));
	va_end(args);
}

static void read_try_(Check *k, const char *line)
{
	Call *c = call_(k, line);
	char *end = value_(line, "end");

	if (c && end) {
		c->called = true;
		c->once |= number_(line, "once") == 1;
		c->whole += !strcmp(end, "whole");
		c->told_not_run |= !strcmp(end, "not-run");
		/* nothing was sent over a connection that was never made */
		c->may_have_run |= strcmp(end, "not-run") != 0 && strcmp(end, "unreachable") != 0;
		if (!strcmp(end, "wrong") || !strcmp(end, "short")) {
			k->wrong++;
			violation_(k, "answer is not the call's own, or not whole: hash=%s end=%s", c->hash, end);
		}
	}
	g_free(end);
}

static void read_call_(Check *k, const char *line)
{
	Call *c = call_(k, line);
	char *outcome = value_(line, "outcome");

	if (c && outcome) {
		c->ended = true;
		g_strlcpy(c->outcome, outcome, sizeof c->outcome);
	}
	g_free(outcome);
}

static void read_run_(Check *k, const char *line)
{
	char *kind = value_(line, "kind");
	Call *c = call_(k, line);

	k->runs_read++;

	if (c && (!kind || !strcmp(kind, "answer"))) /* prefilling a segment answers nothing */
		c->runs++;
	g_free(kind);
}

static void add_pair_(GArray *list, uint64_t time_us, uint64_t revision)
{
	g_array_append_val(list, time_us);
	g_array_append_val(list, revision);
}

static void read_node_(Check *k, const char *line)
{
	char *process = value_(line, "process");
	char *boot = value_(line, "boot");
	char *event = value_(line, "event");
	char *what = value_(line, "what");
	/* a log line starts with its time */
	uint64_t time_us = g_ascii_strtoull(line + strlen("time_us="), NULL, 10);

	if (process && boot && event) {
		char *name = g_strconcat(process, "/", boot, NULL);
		Life *l = g_hash_table_lookup(k->lives, name);
		if (!l) {
			l = g_new0(Life, 1);
			l->life = g_strdup(name);
			l->first_us = time_us;
			l->installed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
			g_hash_table_insert(k->lives, l->life, l);
		}
		l->last_us = time_us;
		if (!strcmp(event, "config") && what && !strcmp(what, "installed"))
			add_pair_(l->installed, time_us, number_(line, "value"));
		g_free(name);
	}
	g_free(process);
	g_free(boot);
	g_free(event);
	g_free(what);
}

static void read_line_(Check *k, const char *line)
{
	if (g_str_has_prefix(line, "try "))
		read_try_(k, line);
	else if (g_str_has_prefix(line, "call "))
		read_call_(k, line);
	else if (g_str_has_prefix(line, "applied "))
		add_pair_(k->applied, number_(line, "time_us"), number_(line, "revision"));
	else if (g_str_has_prefix(line, "held ")) {
		uint64_t bytes = number_(line, "kv_used_bytes");
		k->held_read++;
		k->held_bytes += bytes;
		if (bytes)
			violation_(k, "engine memory is held after quiet: %s", line);
	}
	else if (g_str_has_prefix(line, "late-work ") && !k->safety_only)
		violation_(k, "new work reached a leaving endpoint: %s", line);
	else if (g_str_has_prefix(line, "cut "))
		violation_(k, "a planned stop cut off a request: %s", line);
	else if (g_str_has_prefix(line, "store ")) {
		k->peak_reads = number_(line, "peak_reads_per_s");
		k->peak_writes = number_(line, "peak_writes_per_s");
		if (k->peak_reads > 2000 || k->peak_writes > 100)
			violation_(k, "too many store calls: %s", line);
	}
	else if (strstr(line, " event=engine-run ") || strstr(line, " event=service-run "))
		read_run_(k, line);
	else if (g_str_has_prefix(line, "time_us="))
		read_node_(k, line);
}

static bool read_file_(Check *k, const char *path)
{
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++)
		read_line_(k, *l);
	g_strfreev(lines);
	g_free(text);
	return true;
}

static void check_calls_(Check *k, uint64_t *requests, uint64_t *whole, uint64_t *verdicts, uint64_t *doubled,
						 uint64_t *lost)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, k->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Call *c = value;
		if (!c->called)
			continue;
		(*requests)++;
		if (!c->ended || !strcmp(c->outcome, "lost")) {
			(*lost)++;
			violation_(k, "no whole answer and no verdict: hash=%s", c->hash);
		}
		else if (!strcmp(c->outcome, "whole")) {
			(*whole)++;
		}
		else {
			(*verdicts)++;
		}
		if (c->once && c->runs > 1) {
			(*doubled)++;
			violation_(k, "not to be repeated, but ran %u times: hash=%s", c->runs, c->hash);
		}
		if (!c->may_have_run && c->told_not_run && c->runs) {
			(*doubled)++;
			violation_(k, "told not run, but ran: hash=%s", c->hash);
		}
	}
}

static void check_lives_(Check *k)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, k->lives);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Life *l = value;
		uint64_t last = 0;
		for (guint i = 0; i + 1 < l->installed->len; i += 2) {
			uint64_t revision = g_array_index(l->installed, uint64_t, i + 1);
			if (revision <= last)
				violation_(
					k, "configuration went back from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT " on %s",
					last, revision, l->life);
			last = revision;
		}
		for (guint a = 0; a + 1 < k->applied->len && !k->safety_only; a += 2) {
			uint64_t at_us = g_array_index(k->applied, uint64_t, a);
			uint64_t want = g_array_index(k->applied, uint64_t, a + 1);
			bool there = false;
			if (l->installed->len == 0 || l->first_us > at_us || l->last_us < at_us + CONFIG_FORCE_US)
				continue; /* not a node, or not alive for all that time */
			for (guint i = 0; i + 1 < l->installed->len; i += 2)
				there |= g_array_index(l->installed, uint64_t, i + 1) >= want &&
						 g_array_index(l->installed, uint64_t, i) <= at_us + CONFIG_FORCE_US;
			if (!there)
				violation_(k, "revision %" G_GUINT64_FORMAT " was not in force in time on %s", want, l->life);
		}
	}
}

static void free_life_(gpointer life)
{
	Life *l = life;
	g_free(l->life);
	g_array_unref(l->installed);
	g_free(l);
}

int main(int argc, char **argv)
{
	static const struct option Options[] = {{"label", required_argument, NULL, 'l'},
											{"safety", no_argument, NULL, 's'},
											{"help", no_argument, NULL, 'h'},
											{"version", no_argument, NULL, 'V'},
											{NULL, 0, NULL, 0}};
	const char *label = "check";
	Check k = {0};
	uint64_t requests = 0;
	uint64_t whole = 0;
	uint64_t verdicts = 0;
	uint64_t doubled = 0;
	uint64_t lost = 0;
	int option;
	int result;

	while ((option = getopt_long(argc, argv, "l:shV", Options, NULL)) != -1) {
		if (option == 'l') {
			label = optarg;
		}
		else if (option == 's') {
			k.safety_only = true;
		}
		else if (option == 'V') {
			puts("bh-check " BAYHOIST_VERSION);
			return EX_OK;
		}
		else {
			fputs("Usage: bh-check [--label WORD] [--safety] FILE...\n"
				  "Judges histories of bh-load and logs of stand-ins and nodes. Exit status 1 if a promise "
				  "was broken.\n",
				  option == 'h' ? stdout : stderr);
			return option == 'h' ? EX_OK : EX_USAGE;
		}
	}
	k.calls = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	k.lives = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_life_);
	k.applied = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	k.violations = g_ptr_array_new_with_free_func(g_free);
	for (int i = optind; i < argc; i++) {
		if (!read_file_(&k, argv[i])) {
			fprintf(stderr, "bh-check: %s cannot be read\n", argv[i]);
			return EX_NOINPUT;
		}
	}
	check_calls_(&k, &requests, &whole, &verdicts, &doubled, &lost);
	check_lives_(&k);
	for (guint i = 0; i < k.violations->len; i++)
		printf("violation: %s\n", (const char *)g_ptr_array_index(k.violations, i));
	printf("judged lives=%u applied=%u runs=%u held=%u\n", g_hash_table_size(k.lives), k.applied->len / 2,
		   k.runs_read, k.held_read);
	printf("%s requests=%" G_GUINT64_FORMAT " whole=%" G_GUINT64_FORMAT " verdicts=%" G_GUINT64_FORMAT
		   " doubled=%" G_GUINT64_FORMAT " crossed=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT "\n",
		   label, requests, whole, verdicts, doubled, k.wrong, lost);
	result = k.violations->len ? 1 : 0;
	g_hash_table_unref(k.calls);
	g_hash_table_unref(k.lives);
	g_array_unref(k.applied);
	g_ptr_array_unref(k.violations);
	return result;
}

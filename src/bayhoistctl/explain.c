/* SPDX-License-Identifier: BSD-3-Clause */
/* `explain ID LOG...`: the way of one request through the gateways' logs, what was believed around it, and in
 * a few lines why it ended as it did. */
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include "ctl.h"

#define AROUND_US (5 * 1000000) /* before a request, in which a change of belief may be its cause */

/* One line of a log that is of interest. */
typedef struct {
	uint64_t time_us;
	uint64_t sequence;
	char *text;
	bool own; /* of the request itself */
} Line;

/* What an outcome means, for operators. */
static const struct {
	const char *outcome;
	const char *meaning;
} Meanings_[] = {
	{"served", "It was served."},
	{"overload", "No engine could take it in time: it was refused and did not run."},
	{"no-endpoint", "No endpoint of its service could be used: it was refused and did not run."},
	{"not-run", "Its endpoints refused it, and no attempt was left: it did not run."},
	{"no-configuration", "The node's configuration was too old to trust keys, or there was none: it was "
						 "refused and did not run."},
	{"cut-off",
	 "Its node had lost its links to the endpoints, and knew no peer that had any: it was refused and "
	 "did not run."},
	{"no-route", "No route led from its host and path."},
	{"unauthorized", "Its API key was not known to the configuration in force."},
	{"endpoint-failed",
	 "Its endpoint failed after it was sent, and it could not be sent again: it may have run."},
	{"endpoint-answered-failure", "Its endpoint answered with a failure, which was passed on."},
	{"deadline", "Its time was up."},
	{"broken-off", "Its answer had begun and could not be completed."},
	{"caller-gone", "Its caller closed the connection."},
	{"node-stopped", "Its node stopped before it had ended."},
};

static bool read_log_(const char *path, const char *id, GPtrArray *lines);
static Line *new_line_(const char *text, bool own);
static gint compare_(gconstpointer a, gconstpointer b);
static void free_line_(gpointer line);
static int print_(const char *id, GPtrArray *lines);
static void print_dispatch_(const char *text);
static bool is_belief_(const char *text);
static bool is_in_force_(const Line *l, uint64_t at_us);

/* Explains a request from log files. */
int ctl_explain(char **arguments)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(free_line_);
	int result = EX_OK;

	if (!arguments[0] || !arguments[1]) {
		fputs("bayhoistctl: explain wants a request's id and one log file or more\n", stderr);
		g_ptr_array_unref(lines);
		return EX_USAGE;
	}
	for (char **path = arguments + 1; *path && result == EX_OK; path++)
		if (!read_log_(*path, arguments[0], lines))
			result = EX_NOINPUT;
	g_ptr_array_sort(lines, compare_);
	if (result == EX_OK)
		result = print_(arguments[0], lines);
	g_ptr_array_unref(lines);
	return result;
}

static bool read_log_(const char *path, const char *id, GPtrArray *lines)
{
	char *wanted = g_strdup_printf(" request=%s ", id);
	char *text = NULL;
	GError *error = NULL;
	char **all;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "bayhoistctl: %s\n", error->message);
		g_error_free(error);
		g_free(wanted);
		return false;
	}
	all = g_strsplit(text, "\n", -1);
	for (char **line = all; *line; line++) {
		bool own = strstr(*line, wanted) != NULL;
		if (own || is_belief_(*line))
			g_ptr_array_add(lines, new_line_(*line, own));
	}
	g_strfreev(all);
	g_free(text);
	g_free(wanted);
	return true;
}

/* Returns true for a signal of an endpoint that was in force at a time, however long ago it was given. */
static bool is_in_force_(const Line *l, uint64_t at_us)
{
	char *for_ms = ctl_log_value(l->text, "for_ms");
	uint64_t until_us = for_ms ? l->time_us + g_ascii_strtoull(for_ms, NULL, 10) * 1000 : UINT64_MAX;
	bool is_signal = strstr(l->text, "event=signal kind=") != NULL;

	g_free(for_ms);
	return is_signal && l->time_us <= at_us && at_us < until_us;
}

/* Returns true for lines that tell of a change in what a node believes. */
static bool is_belief_(const char *text)
{
	static const char *const Events[] = {
		"event=member ",        "event=scheduler ",    "event=store ", "event=looks ",  "event=endpoint ",
		"event=configuration ", "event=start ",        "event=stop ",  "event=engine ", "event=log ",
		"event=signal ",        "event=limit ",        "event=hall ",  "event=links ",  "event=path ",
		"event=silence ",       "event=last-endpoint "};

	for (size_t i = 0; i < G_N_ELEMENTS(Events); i++)
		if (strstr(text, Events[i]))
			return true;
	return false;
}

static Line *new_line_(const char *text, bool own)
{
	const char *start = strstr(text, "time_us=");
	Line *l = g_new0(Line, 1);
	char *time = ctl_log_value(text, "time_us");
	char *sequence = ctl_log_value(text, "seq");

	l->text = g_strdup(start ? start : text);
	l->own = own;
	l->time_us = time ? g_ascii_strtoull(time, NULL, 10) : 0;
	l->sequence = sequence ? g_ascii_strtoull(sequence, NULL, 10) : 0;
	g_free(time);
	g_free(sequence);
	return l;
}

static gint compare_(gconstpointer a, gconstpointer b)
{
	const Line *const *x = a;
	const Line *const *y = b;

	if ((*x)->time_us != (*y)->time_us)
		return (*x)->time_us < (*y)->time_us ? -1 : 1;
	return (*x)->sequence < (*y)->sequence ? -1 : (*x)->sequence > (*y)->sequence;
}

static void free_line_(gpointer line)
{
	g_free(((Line *)line)->text);
	g_free(line);
}

static int print_(const char *id, GPtrArray *lines)
{
	uint64_t first_us = UINT64_MAX;
	uint64_t last_us = 0;
	char *node = NULL;
	char *outcome = NULL;

	for (guint i = 0; i < lines->len; i++) {
		const Line *l = g_ptr_array_index(lines, i);
		if (!l->own)
			continue;
		first_us = MIN(first_us, l->time_us);
		last_us = MAX(last_us, l->time_us);
		if (!node)
			node = ctl_log_value(l->text, "process");
		if (strstr(l->text, "event=end "))
			outcome = ctl_log_value(l->text, "outcome");
	}
	if (!last_us) {
		printf("request %s is in none of these logs\n", id);
		return 1;
	}
	printf("request %s at node %s\n", id, node ? node : "?");
	for (guint i = 0; i < lines->len; i++) {
		const Line *l = g_ptr_array_index(lines, i);
		char *process = ctl_log_value(l->text, "process");
		bool near =
			(l->time_us + AROUND_US >= first_us && l->time_us <= last_us) || is_in_force_(l, first_us);
		if (l->own || (near && process && node && !strcmp(process, node)))
			printf("%c %s\n", l->own ? '*' : ' ', l->text);
		g_free(process);
	}
	for (guint i = 0; i < lines->len; i++) {
		const Line *l = g_ptr_array_index(lines, i);
		if (l->own && strstr(l->text, "event=sent "))
			print_dispatch_(l->text);
	}
	printf("outcome: %s\n",
		   outcome ? outcome : "none in these logs: the node was lost, or the request still runs");
	for (size_t i = 0; outcome && i < G_N_ELEMENTS(Meanings_); i++)
		if (!strcmp(outcome, Meanings_[i].outcome))
			puts(Meanings_[i].meaning);
	g_free(node);
	g_free(outcome);
	return EX_OK;
}

/* Prints, of one dispatch that has ended, its endpoint, how it ended, and what the caller got of it. */
static void print_dispatch_(const char *text)
{
	char *endpoint = ctl_log_value(text, "endpoint");
	char *end = ctl_log_value(text, "end");
	char *status = ctl_log_value(text, "status");
	char *first = ctl_log_value(text, "first_event");
	char *last = ctl_log_value(text, "last_event");
	char *bytes = ctl_log_value(text, "forwarded_bytes");
	bool has_events = first && first[0] && last;

	printf("dispatch to %s: %s, status %s, ", endpoint ? endpoint : "?", end ? end : "?",
		   status ? status : "?");
	if (has_events)
		printf("events %s to %s, ", first, last);
	else
		printf("no numbered events, ");
	printf("%s bytes to the caller\n", bytes ? bytes : "?");
	g_free(endpoint);
	g_free(end);
	g_free(status);
	g_free(first);
	g_free(last);
	g_free(bytes);
}

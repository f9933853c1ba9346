/* SPDX-License-Identifier: BSD-3-Clause */
/* Runs every ordered pair of faults, including each fault twice, under a mix of requests. Each request must
 * get an outcome, no engine may hold memory once the cluster is idle, and the checks of every scenario must
 * pass. */
#include <glib.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <cmocka.h>
#include "scenario.h"

/* A fault, as scenario commands without their times. */
typedef struct {
	const char *name;
	const char *begin; /* command that causes it */
	const char *end;   /* command that ends it; NULL: it has no end */
} Fault;

static const Fault Faults[] = {
	{"engine-dies", "engine e1 kill", "engine e1 start"},
	{"engine-pauses", "engine e1 pause", "engine e1 wake"},
	{"engine-cuts", "engine e1 cut 3", NULL},
	{"engine-crosses", "engine e3 cross 9", NULL},
	{"engine-refuses", "engine e2 refuse 4", NULL},
	{"reports-lag", "engine e1 stale", "engine e1 fresh"},
	{"cache-gap", "engine e1 gap", NULL},
	{"scheduler-dies", "node n1 kill", "node n1 start"},
	{"scheduler-pauses", "node n1 pause", "node n1 wake"},
	{"caller-node-dies", "node n2 kill", "node n2 start"},
	{"caller-node-pauses", "node n2 pause", "node n2 wake"},
	{"node-leaves", "node n3 leave", NULL},
	{"cut", "cut n1 n2", "heal n1 n2"},
	{"store-down", "store down", "store up"},
	{"store-loses", "store lose 5", NULL},
	{"vm-leaves", "vm e4", NULL},
	{"operators-race",
	 "apply x n1 {\"resources\":[{\"kind\":\"account\",\"name\":\"x\",\"spec\":{\"weight\":3}}]}",
	 "apply y n2 {\"resources\":[{\"kind\":\"account\",\"name\":\"x\",\"spec\":{\"weight\":4}}]}"},
};

/* Times in ms at which the first and the second fault begin and end. The two faults overlap. */
static const int BeginMs[2] = {120, 420};
static const int EndMs[2] = {6000, 9000};

/* A line of a scenario script. */
typedef struct {
	int at_ms; /* scenario time */
	char *text;
} ScriptLine;

/* Appends a copy of `text` as a line to run at `at_ms`. */
static void add_line_(GArray *lines, int at_ms, const char *text)
{
	ScriptLine l = {at_ms, g_strdup(text)};
	g_array_append_val(lines, l);
}

/* Compares two lines by time. */
static gint compare_times_(gconstpointer a, gconstpointer b)
{
	return ((const ScriptLine *)a)->at_ms - ((const ScriptLine *)b)->at_ms;
}

/* Adds one of each kind of request at `at_ms`. `suffix` makes their names unique in the script. */
static void add_request_lines_(GArray *lines, int at_ms, const char *suffix)
{
	static const char *const Requests[] = {"request page%s n1 tokens 1000",
										   "request page2%s n2 tokens 3000",
										   "request page3%s n3 tokens 2000",
										   "request manual%s n2 tokens 30000",
										   "request archive%s n1 tokens 150000",
										   "request archive2%s n3 tokens 120000",
										   "request cohort%s n2 tokens 900000",
										   "stamp s1%s n1",
										   "request notice%s n1 tokens 1000 stamp s1%s",
										   "stamp s2%s n2",
										   "request notice2%s n2 tokens 1500 stamp s2%s"};

	for (size_t i = 0; i < G_N_ELEMENTS(Requests); i++) {
		char **part = g_strsplit(Requests[i], "%s", -1);
		char *text = g_strjoinv(suffix, part);
		add_line_(lines, at_ms, text);
		g_free(text);
		g_strfreev(part);
	}
}

/* Returns the scenario script of a pair of faults, to be freed with g_free(). Requests start before, during
 * and after the two faults. */
static char *make_script_(const Fault *first, const Fault *second)
{
	const Fault *fault[2] = {first, second};
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(ScriptLine));
	GString *script = g_string_new("nodes 3\nengine e1 h1 200000\nengine e2 h1 200000\nengine e3 h2 200000\n"
								   "engine e4 h2 200000\nengine e5 h3 200000\nengine e6 h3 200000\nbegin\n");

	add_request_lines_(lines, 0, "a");
	add_request_lines_(lines, 440, "b"); /* while both faults last */
	add_request_lines_(lines, 15000, "c");
	for (int i = 0; i < 2; i++) {
		add_line_(lines, BeginMs[i], fault[i]->begin);
		if (fault[i]->end)
			add_line_(lines, EndMs[i], fault[i]->end);
	}
	g_array_sort(lines, compare_times_);
	for (guint i = 0; i < lines->len; i++) {
		ScriptLine *l = &g_array_index(lines, ScriptLine, i);
		g_string_append_printf(script, "%d %s\n", l->at_ms, l->text);
		g_free(l->text);
	}
	g_array_unref(lines);
	g_string_append(script, "135000 expect all-answered\n150000 expect all-free\n");
	return g_string_free(script, FALSE);
}

/* Runs the pairs whose first fault is `*state`. Prints every failure before it fails the test. */
static void run_pairs_(void **state)
{
	const Fault *first = *state;
	unsigned failures = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(Faults); i++) {
		char *name = g_strdup_printf("%s then %s", first->name, Faults[i].name);
		char *script = make_script_(first, &Faults[i]);
		char *failure = scenario_run_text(name, script);
		if (failure) {
			print_error("%s\n", failure);
			failures++;
		}
		g_free(failure);
		g_free(script);
		g_free(name);
	}
	assert_int_equal(failures, 0);
}

int main(void)
{
	struct CMUnitTest tests[G_N_ELEMENTS(Faults)];

	for (size_t i = 0; i < G_N_ELEMENTS(Faults); i++)
		tests[i] = (struct CMUnitTest){
			.name = Faults[i].name, .test_func = run_pairs_, .initial_state = (void *)&Faults[i]};
	return _cmocka_run_group_tests("pairs", tests, G_N_ELEMENTS(Faults), NULL, NULL);
}

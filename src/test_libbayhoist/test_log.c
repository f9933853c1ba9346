/* SPDX-License-Identifier: BSD-3-Clause */
/* Log lines: one for each event, whatever stands in the fields that came from outside. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>
#include "log.h"

#define LINE_LONGEST 1700 /* bytes of a line, with who wrote it */
#define FORGED "time_us=1 process=other event=start"

/* Returns what `write` has logged, to free with g_free(). */
static char *logged_(void (*write)(const char *text), const char *text)
{
	char path[] = "/tmp/test_log.XXXXXX";
	int file = mkstemp(path);
	int out = dup(STDOUT_FILENO);
	char *lines = NULL;

	assert_true(file >= 0 && out >= 0);
	dup2(file, STDOUT_FILENO);
	write(text);
	log_flush();
	dup2(out, STDOUT_FILENO);
	close(out);
	close(file);
	assert_true(g_file_get_contents(path, &lines, NULL, NULL));
	unlink(path);
	return lines;
}

static void write_event_(const char *text)
{
	log_event("endpoint", "what=entry-refused endpoint=%s cause=\"%s\"", text, text);
}

static void write_error_(const char *text)
{
	log_error("endpoint", "what=entry-refused endpoint=%s cause=\"%s\"", text, text);
}

/* Checks that there is one line, of bounded length and of text without control characters. */
static void check_one_line_(const char *lines)
{
	size_t len = strlen(lines);

	assert_true(len > 0 && len < LINE_LONGEST);
	assert_true(g_str_has_prefix(lines, "time_us="));
	assert_ptr_equal(strchr(lines, '\n'), lines + len - 1);
	assert_true(g_utf8_validate(lines, -1, NULL));
	for (const char *at = lines; at < lines + len - 1; at = g_utf8_next_char(at)) {
		gunichar sign = g_utf8_get_char(at);
		assert_false(g_unichar_iscntrl(sign) || sign == 0x2028 || sign == 0x2029);
	}
}

static void an_event_is_one_line_(void **state)
{
	static const char *const Texts[] = {
		"a\n" FORGED,       "a\r" FORGED,  "a\r\n\r\n" FORGED, "a\v\f" FORGED,
		"a\xc2\x85" FORGED, "\x1b[2Ja",    "a\x7f\x01\x02z",   "a\xe2\x80\xa8" FORGED,
		"\xff\xfe",         "cut\xe2\x80", "\xc0\x8a",         "\xed\xa0\x80",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Texts); i++) {
		char *event = logged_(write_event_, Texts[i]);
		char *error = logged_(write_error_, Texts[i]);
		check_one_line_(event);
		check_one_line_(error);
		g_free(event);
		g_free(error);
	}
}

static void sound_text_stays_as_it_is_(void **state)
{
	char *lines = logged_(write_event_, "i-1 \"a\\b\" gr\xc3\xbc\xc3\x9f \xe2\x82\xac");

	(void)state;
	check_one_line_(lines);
	assert_non_null(strstr(lines, "endpoint=i-1 \"a\\b\" gr\xc3\xbc\xc3\x9f \xe2\x82\xac cause="));
	g_free(lines);
}

/* A line that is cut is one too, wherever it is cut. */
static void a_line_that_is_cut_is_one_(void **state)
{
	static const char *const Parts[] = {"\n", "x\n" FORGED, "\xe2\x82\xac", "\xff", "x"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Parts); i++) {
		for (size_t shift = 0; shift < 8; shift++) {
			GString *text = g_string_new(NULL);
			char *lines;
			for (size_t n = 0; n < shift; n++)
				g_string_append_c(text, 'y');
			while (text->len < 5000)
				g_string_append(text, Parts[i]);
			lines = logged_(write_event_, text->str);
			check_one_line_(lines);
			g_free(lines);
			g_string_free(text, TRUE);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_event_is_one_line_),
		cmocka_unit_test(sound_text_stays_as_it_is_),
		cmocka_unit_test(a_line_that_is_cut_is_one_),
	};
	int failed;

	log_init("test", "h1", 1);
	failed = cmocka_run_group_tests(tests, NULL, NULL);
	log_finish();
	return failed;
}

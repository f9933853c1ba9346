/* SPDX-License-Identifier: BSD-3-Clause */
/* Heads of HTTP messages, sound and broken, whole and in pieces of any size. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include "bayhoist/http_head.h"

#define OK "HTTP/1.1 200 OK\r\n"
#define GET "GET /x HTTP/1.1\r\nHost: a\r\n"
#define END "\r\n"
#define TEXT(literal) literal, sizeof literal - 1 /* which may hold a NUL */

typedef struct {
	BH__HttpHeadKind kind;
	const char *text;
	size_t len;
} Row;

/* Reads a text in pieces of `step` bytes, with what follows the head behind it. */
static BH__HttpHeadState read_(const Row *row, size_t step, BH__HttpHead *h, size_t *used)
{
	BH__HttpHeadState state = BH__HTTP_HEAD_INCOMPLETE;
	size_t n;

	bh__http_head_init(h, row->kind);
	*used = 0;
	while (state == BH__HTTP_HEAD_INCOMPLETE && *used < row->len) {
		size_t piece = row->len - *used < step ? row->len - *used : step;
		state = bh__http_head_process(h, row->text + *used, piece, &n);
		*used += n;
	}
	return state;
}

static void sound_heads_are_taken_to_their_end_(void **state)
{
	static const Row Rows[] = {
		{BH__HTTP_HEAD_ANSWER, TEXT(OK END)},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.0 404 Not Found\r\nA: b\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 200\r\nA: b\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 200 \r\nA: b\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 599 \t\xc3\xa9\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 100 Continue\n\n")},
		{BH__HTTP_HEAD_ANSWER,
		 TEXT(OK "A:\r\nB:b\r\nC: \tc \t\r\nD: \xff:\"\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n")},
		{BH__HTTP_HEAD_REQUEST, TEXT(GET END)},
		{BH__HTTP_HEAD_REQUEST, TEXT("\r\n\n" GET "A: b\n\n")},
		{BH__HTTP_HEAD_TRAILERS, TEXT("\r\n")},
		{BH__HTTP_HEAD_TRAILERS, TEXT("A: b\r\nC: d\r\n\r\n")},
	};
	char behind[256];

	(void)state;
	for (size_t i = 0; i < sizeof Rows / sizeof *Rows; i++) {
		Row row = Rows[i];
		memcpy(behind, row.text, row.len);
		memcpy(behind + row.len, "\x01 x", 3);
		row.text = behind;
		row.len += 3;
		for (size_t step = 1; step <= row.len; step++) {
			BH__HttpHead h;
			size_t used;
			assert_int_equal(read_(&row, step, &h, &used), BH__HTTP_HEAD_COMPLETE);
			assert_int_equal(used, Rows[i].len);
			assert_null(h.cause);
		}
	}
}

static void broken_heads_are_none_(void **state)
{
	static const Row Rows[] = {
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 000 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 001 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 099 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 20 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 20\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 600 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 999 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 1000 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 0200 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 +20 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1  200 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1\t200 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 200\tOK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/2.0 200 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/11 200 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1. 200 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("http/1.1 200 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 200 O\x01K\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 200 O\x7fK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 200 O\0K\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 200 O\rK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT("\r\n" OK END)},
		{BH__HTTP_HEAD_ANSWER, TEXT("200 OK\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X Bad: v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-Bad : v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK " X-Bad: v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-A: b\r\n folded\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-A: b\r\n\tfolded\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-A: b\n folded\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-A: b\r\n \r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X\tBad: v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X\x01: v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X\x7f: v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X\0: v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X\rBad: v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X\xe9: v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X(: v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X\"y\": v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK ": v\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-Bad\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-Bad: a\x01\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-Bad: a\x7f\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-Bad: a\0b\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "X-Bad: a\rb\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "Content-Length : 1\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "Transfer Encoding: chunked\r\n\r\n")},
		{BH__HTTP_HEAD_ANSWER, TEXT(OK "A: b\r\n\rX")},
		{BH__HTTP_HEAD_REQUEST, TEXT("GET /a\x01 HTTP/1.1\r\n\r\n")},
		{BH__HTTP_HEAD_REQUEST, TEXT("GET /a\tb HTTP/1.1\r\n\r\n")},
		{BH__HTTP_HEAD_REQUEST, TEXT("GET /a\rb HTTP/1.1\r\n\r\n")},
		{BH__HTTP_HEAD_REQUEST, TEXT(GET "X Bad: v\r\n\r\n")},
		{BH__HTTP_HEAD_REQUEST, TEXT(GET " X-Bad: v\r\n\r\n")},
		{BH__HTTP_HEAD_REQUEST, TEXT(GET "Content-Length : 5\r\n\r\n")},
		{BH__HTTP_HEAD_TRAILERS, TEXT("X Bad: v\r\n\r\n")},
		{BH__HTTP_HEAD_TRAILERS, TEXT(" folded\r\n\r\n")},
		{BH__HTTP_HEAD_TRAILERS, TEXT("X-Bad\r\n\r\n")},
	};

	(void)state;
	for (size_t i = 0; i < sizeof Rows / sizeof *Rows; i++) {
		size_t bad_at = 0;
		for (size_t step = 1; step <= Rows[i].len; step++) {
			BH__HttpHead h;
			size_t used;
			if (read_(&Rows[i], step, &h, &used) != BH__HTTP_HEAD_BAD)
				fail_msg("row %zu is taken", i);
			assert_non_null(h.cause);
			if (step == 1)
				bad_at = used;
			assert_int_equal(used, bad_at);
			assert_int_equal(bh__http_head_process(&h, "\r\n\r\n", 4, &used), BH__HTTP_HEAD_BAD);
			assert_int_equal(used, 0);
		}
	}
}

static void a_head_is_incomplete_until_its_last_byte_(void **state)
{
	static const Row Whole = {BH__HTTP_HEAD_ANSWER, TEXT("HTTP/1.1 204 None\r\nA: b\r\n\r\n")};

	(void)state;
	for (size_t len = 0; len < Whole.len; len++) {
		Row row = {Whole.kind, Whole.text, len};
		BH__HttpHead h;
		size_t used;
		assert_int_equal(read_(&row, 3, &h, &used), BH__HTTP_HEAD_INCOMPLETE);
		assert_int_equal(used, len);
		if (len > strlen("HTTP/1.1 204"))
			assert_int_equal(h.status, 204);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(sound_heads_are_taken_to_their_end_),
		cmocka_unit_test(broken_heads_are_none_),
		cmocka_unit_test(a_head_is_incomplete_until_its_last_byte_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

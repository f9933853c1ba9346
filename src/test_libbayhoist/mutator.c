/* SPDX-License-Identifier: BSD-3-Clause */
/* Each text is a sample after one to four changes. The changes know enough of JSON to put an odd value in the
 * place of a sound one, where a decoder looks, and work on any bytes. A text is handed over in a block of
 * just its size, so that a sanitizer sees a read beyond it. */
#include "mutator.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CHANGES_MAX 4
#define NESTING_MAX 100000
#define DEEP_ONE_IN 64 /* nestings of that depth */
#define LARGE (1024 * 1024)
#define LARGE_ONE_IN 4096 /* changes that make a text large */
#define TOLD_MAX 3000     /* bytes of a text that are printed */
#define TIME_MAX_S 10.0   /* of a processor, for one text: a decoder that takes a second is too slow by far */

/* What stands in the place of a sound value. */
static const char *const Odd_[] = {
	"null",
	"true",
	"[]",
	"{}",
	"[1,2]",
	"{\"a\":1}",
	"\"\"",
	"\" \"",
	"\"x\"",
	"0",
	"-0",
	"-1",
	"1.5",
	"1e-9",
	"1e999",
	"-1e999",
	"1e300",
	"1e19",
	"1e15",
	"NaN",
	"Infinity",
	"-Infinity",
	"255",
	"256",
	"65535",
	"65536",
	"70000",
	"2147483648",
	"4294967295",
	"4294967296",
	"9007199254740993",
	"9223372036854775807",
	"9223372036854775808",
	"18446744073709551615",
	"18446744073709551616",
	"-9223372036854775809",
	"99999999999999999999",
	"\"127.0.0.1:0\"",
	"\"127.0.0.1:70000\"",
	"\"127.0.0.1:-1\"",
	"\"127.0.0.1:99999999999999999999\"",
	"\"127.0.0.1:80abc\"",
	"\"127.0.0.1\"",
	"\":80\"",
	"\"[::1]:80\"",
	"\"a b:80\"",
	"\"nowhere.example:80\"",
	"\"a\\nevent=start\"",
	"\"a\\u0000b\"",
	"\"\\ud800\"",
	"\"\xc3\x28\"",
	"\"\xff\xfe\"",
	"\"unended",
	"[\"a\",null,{}]",
};
/* What is put between bytes. */
static const char *const Pieces_[] = {"\n",    "\r\n",         "\r\n\r\n", ":",  ",",  "{",   "}",    "[",
									  "]",     "\"",           "\\",       "//", "/*", "id:", "data", "\n\n",
									  "0\r\n", "\xef\xbb\xbf", "\x1b",     "-"};

static char *Checked_; /* the text that is being checked; NULL: none */
static size_t CheckedLen_;

static void change_(GString *s, GRand *rand, const Sample *other);
static void replace_value_(GString *s, GRand *rand);
static void repeat_field_(GString *s, GRand *rand);
static void nest_(GString *s, GRand *rand);
static bool find_value_(const GString *s, GRand *rand, size_t *from, size_t *len);
static char *digits_(unsigned count);
static size_t place_(const GString *s, GRand *rand);
static double processor_s_(void);

/* Returns the number of texts that a test tries of each kind: `otherwise`, or that many times the number in
 * the environment variable FUZZ_FACTOR. */
unsigned mutator_get_rounds(unsigned otherwise)
{
	const char *factor = getenv("FUZZ_FACTOR");
	double rounds = otherwise * (factor ? g_ascii_strtod(factor, NULL) : 1);

	return (unsigned)CLAMP(rounds, 1, 4e9);
}

/* Has `check` look at all samples, and at `rounds` texts derived from them. FUZZ_SEED is added to the seed.
 * The process is aborted if a check takes too long; the text is written to standard error then. */
void mutator_run(const Sample *sample, unsigned count, uint32_t seed, unsigned rounds, MutatorCheck check,
				 void *ctx)
{
	const char *more = getenv("FUZZ_SEED");
	GRand *rand = g_rand_new_with_seed(seed + (more ? (uint32_t)strtoul(more, NULL, 10) : 0));

	for (unsigned i = 0; i < rounds + count; i++) {
		const Sample *from = i < count ? &sample[i] : &sample[g_rand_int_range(rand, 0, (gint32)count)];
		GString *s = g_string_new_len(from->text, (gssize)from->len);
		double began_s = processor_s_();
		char *block;

		for (int k = i < count ? 0 : g_rand_int_range(rand, 1, CHANGES_MAX + 1); k > 0; k--)
			change_(s, rand, &sample[g_rand_int_range(rand, 0, (gint32)count)]);
		block = malloc(MAX(s->len, 1u));
		memcpy(block, s->str, s->len);
		Checked_ = block;
		CheckedLen_ = s->len;
		check(block, s->len, ctx);
		Checked_ = NULL;
		if (processor_s_() - began_s > TIME_MAX_S)
			g_error("too slow: %.2000s", s->str);
		free(block);
		g_string_free(s, TRUE);
	}
	g_rand_free(rand);
}

/* Prints the text whose check has failed, if one has: a teardown of each test. */
int mutator_tell(void **state)
{
	size_t len = MIN(CheckedLen_, (size_t)TOLD_MAX);

	(void)state;
	if (!Checked_)
		return 0;
	fprintf(stderr, "failed with %zu bytes: ", CheckedLen_);
	for (size_t i = 0; i < len; i++)
		fprintf(stderr, g_ascii_isprint(Checked_[i]) ? "%c" : "\\x%02x", (unsigned char)Checked_[i]);
	fputc('\n', stderr);
	free(Checked_);
	Checked_ = NULL;
	return 0;
}

static void change_(GString *s, GRand *rand, const Sample *other)
{
	size_t at = place_(s, rand);
	size_t most = (size_t)g_rand_int_range(rand, 1, 33);
	size_t len = MIN(most, s->len - at);
	const char *piece = Pieces_[g_rand_int_range(rand, 0, G_N_ELEMENTS(Pieces_))];
	size_t from;

	if (!g_rand_int_range(rand, 0, LARGE_ONE_IN)) {
		char *text = g_strnfill(LARGE, (char)g_rand_int_range(rand, 32, 127));
		g_string_insert_len(s, (gssize)at, text, LARGE);
		g_free(text);
		return;
	}
	switch (g_rand_int_range(rand, 0, 14)) {
	case 0:
		g_string_truncate(s, at);
		break;
	case 1:
		g_string_erase(s, (gssize)at, (gssize)len);
		break;
	case 2:
		g_string_insert(s, (gssize)at, piece);
		break;
	case 3:
		g_string_insert_c(s, (gssize)at, (char)g_rand_int_range(rand, 0, 256));
		break;
	case 4:
		if (len)
			s->str[at] = (char)g_rand_int_range(rand, 0, 256);
		break;
	case 5:
		if (len)
			s->str[at] ^= (char)(1 << g_rand_int_range(rand, 0, 8));
		break;
	case 6: /* goes on as another sample */
		from = other->len ? (size_t)g_rand_int_range(rand, 0, (gint32)other->len) : 0;
		g_string_truncate(s, at);
		g_string_append_len(s, other->text + from, (gssize)(other->len - from));
		break;
	case 7: {
		char *same = g_strndup(s->str + at, len);
		g_string_insert_len(s, (gssize)at, same, (gssize)strlen(same));
		g_free(same);
		break;
	}
	case 8:
		repeat_field_(s, rand);
		break;
	case 9:
		nest_(s, rand);
		break;
	default:
		replace_value_(s, rand);
		break;
	}
}

/* Puts an odd value in the place of one. */
static void replace_value_(GString *s, GRand *rand)
{
	size_t from;
	size_t len;
	char *text;

	if (!find_value_(s, rand, &from, &len))
		return;
	g_string_erase(s, (gssize)from, (gssize)len);
	switch (g_rand_int_range(rand, 0, 10)) {
	case 0:
		text = digits_(20);
		break;
	case 1:
		text = digits_(400);
		break;
	case 2:
		text = g_strdup_printf("-%u", g_rand_int(rand));
		break;
	case 3:
		text = g_strdup_printf("\"%s\"", "a-key-of-a-hundred-and-eighty-bytes-and-more-"
										 "a-key-of-a-hundred-and-eighty-bytes-and-more-"
										 "a-key-of-a-hundred-and-eighty-bytes-and-more-"
										 "a-key-of-a-hundred-and-eighty-bytes-and-more-");
		break;
	default:
		text = g_strdup(Odd_[g_rand_int_range(rand, 0, G_N_ELEMENTS(Odd_))]);
		break;
	}
	g_string_insert(s, (gssize)from, text);
	g_free(text);
}

/* Writes a field twice, the second time with a value of its own. */
static void repeat_field_(GString *s, GRand *rand)
{
	size_t from;
	size_t len;
	size_t key;
	char *field;

	if (!find_value_(s, rand, &from, &len))
		return;
	key = from;
	while (key > 0 && s->str[key - 1] != ',' && s->str[key - 1] != '{')
		key--;
	field = g_strdup_printf(",%.*s%s", (int)(from - key), s->str + key,
							Odd_[g_rand_int_range(rand, 0, G_N_ELEMENTS(Odd_))]);
	g_string_insert(s, (gssize)(from + len), field);
	g_free(field);
}

/* Nests the text, or a value in it, by 31 levels or more. */
static void nest_(GString *s, GRand *rand)
{
	static const unsigned Levels[] = {31, 32, 33, 100, 1000};
	unsigned levels = g_rand_int_range(rand, 0, DEEP_ONE_IN)
						  ? Levels[g_rand_int_range(rand, 0, G_N_ELEMENTS(Levels))]
						  : NESTING_MAX;
	bool is_list = g_rand_boolean(rand);
	size_t from = 0;
	size_t len = s->len;
	GString *nested = g_string_new(NULL);

	if (g_rand_boolean(rand) && !find_value_(s, rand, &from, &len)) {
		from = 0;
		len = s->len;
	}
	for (unsigned i = 0; i < levels; i++)
		g_string_append(nested, is_list ? "[" : "{\"a\":");
	g_string_append_len(nested, s->str + from, (gssize)len);
	for (unsigned i = 0; i < levels; i++)
		g_string_append_c(nested, is_list ? ']' : '}');
	g_string_erase(s, (gssize)from, (gssize)len);
	g_string_insert_len(s, (gssize)from, nested->str, (gssize)nested->len);
	g_string_free(nested, TRUE);
}

/* Finds the value of some field: what stands behind a colon. Returns false if there is none. */
static bool find_value_(const GString *s, GRand *rand, size_t *from, size_t *len)
{
	size_t start = place_(s, rand);
	const char *colon = memchr(s->str + start, ':', s->len - start);

	if (!colon)
		colon = memchr(s->str, ':', s->len);
	if (!colon)
		return false;
	*from = (size_t)(colon - s->str) + 1;
	*len = 0;
	while (*from + *len < s->len && !strchr(",}]\n", s->str[*from + *len]))
		(*len)++;
	return true;
}

static char *digits_(unsigned count)
{
	return g_strnfill(count, '9');
}

static size_t place_(const GString *s, GRand *rand)
{
	return s->len ? (size_t)g_rand_int_range(rand, 0, (gint32)s->len) : 0;
}

static double processor_s_(void)
{
	return (double)clock() / CLOCKS_PER_SEC;
}

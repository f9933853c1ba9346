/* SPDX-License-Identifier: BSD-3-Clause */
/* The reading of signals. */
#include "bayhoist/endpoint_signal.h"

#include <glib.h>
#include <string.h>

const char *const BH__SignalKindString[] = {"limit", "leaving", "backoff"};

/* Reads a header that gives a signal; more than `max` is taken for that. Of several in one answer the
 * strictest counts, and one that can't be read changes nothing about those that can. */
void bh__signal_read(BH__Signal *s, BH__SignalKind kind, const char *value, double max)
{
	char *rest = NULL;
	double number = g_ascii_strtod(value, &rest);
	bool is_number = rest != value && !rest[strspn(rest, " \t")] && number >= 0;
	bool was_given = s->state == BH__SIGNAL_GIVEN;

	if (was_given && !is_number)
		return;
	number = is_number ? MIN(number, max) : 0;
	if (was_given)
		number = kind == BH__SIGNAL_LIMIT ? MIN(number, s->value) : MAX(number, s->value);
	if (!was_given || number != s->value)
		g_strlcpy(s->text, value, sizeof s->text);
	s->state = is_number ? BH__SIGNAL_GIVEN : BH__SIGNAL_UNREADABLE;
	s->value = number;
}

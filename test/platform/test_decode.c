/* SPDX-License-Identifier: BSD-3-Clause */
/* The binding to the users' platform: configuration, endpoints' entries and headers, good and bad. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <string.h>
#include "platform.h"

#define DAMAGES 20000

#define NOW_US (1000 * BH__SECOND_US)

static const char Configuration_[] =
	"{\"version\":7,\"unknown\":{\"x\":1},\"routes\":["
	"{\"name\":\"r-1\",\"host\":\"a.example\",\"path-prefix\":\"/x/"
	"\",\"route-kind\":\"streaming\",\"timeout-ms\":10000,"
	"\"target-latency-ms\":300,\"priority\":1,\"traffic-split\":[{\"service\":\"llm\",\"weight\":90},"
	"{\"service\":\"web\",\"weight\":10}],\"max-attempts\":2,\"allow-anonymous\":false,\"resumable\":true,"
	"\"gap_aim_ms\":200},"
	"{\"name\":\"r-2\",\"host\":\"a.example\",\"path-prefix\":\"/y/"
	"\",\"route-kind\":\"non_idempotent\",\"timeout-ms\":2000,"
	"\"service\":\"web\",\"max-attempts\":1,\"allow-anonymous\":true}],"
	"\"services\":[{\"name\":\"llm\",\"health-path\":\"/"
	"health\",\"max-connections\":434,\"engine-kind\":{\"slots\":16,"
	"\"kv-tokens\":450000,\"stride\":46,\"step_ms\":0.925,\"per_seq_ms\":0.00483,\"context_per_k\":0.00254,"
	"\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,\"report_lag_ms\":200.0,\"hop_ms\":0.1}},"
	"{\"name\":\"web\",\"max-connections\":110}],"
	"\"limits\":{\"max-header-bytes\":1000,\"max-body-bytes\":2000,\"header-timeout-ms\":3000,\"idle-timeout-"
	"ms\":15000},"
	"\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\",\"k2\"],\"priority\":3}]}";

static void a_configuration_is_decoded_(void **state)
{
	uint64_t version;
	BH__Routing *r = platform_decode_routing(Configuration_, strlen(Configuration_), &version, NULL);
	const BH__RouteRule *stream;
	const BH__RouteRule *once;
	const BH__ServiceSpec *s;

	(void)state;
	assert_non_null(r);
	assert_int_equal(bh__routing_get_refusal_count(r), 0);
	assert_int_equal(bh__routing_get_version(r), 7);
	stream = bh__routing_match(r, "a.example", "/x/1");
	assert_int_equal(stream->retry_mode, BH__RETRY_MODE_RESUME);
	assert_true(stream->streams);
	assert_int_equal(stream->target_count, 2);
	assert_int_equal(stream->event_gap_ms, 200);
	assert_int_equal(stream->target_ms, 300);
	once = bh__routing_match(r, "a.example", "/y/1");
	assert_int_equal(once->retry_mode, BH__RETRY_MODE_NEVER);
	assert_true(once->needs_no_key);
	s = bh__routing_find_service(r, "llm");
	assert_true(s->is_engine);
	assert_int_equal(s->engine.steps_per_iteration, 46);
	assert_true(s->engine.prefill_tokens_per_ms > 255.9 && s->engine.prefill_tokens_per_ms < 256.1);
	assert_false(bh__routing_find_service(r, "web")->is_engine);
	assert_int_equal(bh__routing_get_limits(r)->max_body_bytes, 2000);
	assert_int_equal(bh__routing_find_owner(r, "k2")->priority, 3);
	bh__routing_unref(r);
}

/* A text without parts that can be told apart is refused as a whole, with an error that names the field.
 * Where accounts are no list, it must not look as if no key were needed. */
static void wrong_configurations_name_the_field_(void **state)
{
	static const struct {
		const char *text;
		const char *named;
	} Table[] = {
		{"", "JSON"},
		{"{\"version\":1,", "JSON"},
		{"[]", "version"},
		{"7", "version"},
		{"{\"routes\":[]}", "version"},
		{"{\"version\":\"7\"}", "version"},
		{"{\"version\":-7}", "version"},
		{"{\"version\":0}", "version"},
		{"{\"version\":1.5}", "version"},
		{"{\"version\":1,\"routes\":{}}", "routes"},
		{"{\"version\":1,\"services\":7}", "services"},
		{"{\"version\":1,\"tenants\":{\"name\":\"t\"}}", "tenants"},
		{"{\"version\":1,\"tenants\":null}", "tenants"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Table); i++) {
		GError *error = NULL;
		uint64_t version;
		assert_null(platform_decode_routing(Table[i].text, strlen(Table[i].text), &version, &error));
		assert_non_null(strstr(error->message, Table[i].named));
		g_error_free(error);
	}
}

/* A configuration with one wrong part was refused whole: accounts that it brought did not work, and keys that
 * it took away did. */
static void a_wrong_part_is_left_out_by_name_(void **state)
{
	static const struct {
		const char *services; /* of the configuration, behind one that is sound; so are the next two */
		const char *routes;   /* those on host "o" are wrong */
		const char *owners;   /* their key "o" */
		const char *named[2]; /* in the first refusal */
		unsigned count;       /* of refusals */
	} Table[] = {
		{"", "", "", {"", ""}, 0},
		{",{\"name\":7}", "", "", {"service 2", "name"}, 1},
		{",{\"name\":\"\"}", "", "", {"service 2", "name"}, 1},
		{",7", "", "", {"service 2", "name"}, 1},
		{"",
		 ",{\"name\":7,\"host\":\"o\",\"path-prefix\":\"/\",\"route-kind\":\"idempotent\",\"service\":\"s\"}",
		 "",
		 {"route 2", "name"},
		 1},
		{"",
		 ",{\"name\":\"x\",\"host\":\"o\",\"path-prefix\":\"/\",\"route-kind\":\"odd\",\"service\":\"s\"}",
		 "",
		 {"route \"x\"", "route-kind"},
		 1},
		{"",
		 ",{\"name\":\"x\",\"host\":\"o\",\"path-prefix\":\"/\",\"route-kind\":\"idempotent\"}",
		 "",
		 {"route \"x\"", "service"},
		 1},
		{"",
		 ",{\"name\":\"x\",\"host\":\"o\",\"path-prefix\":\"/"
		 "\",\"route-kind\":\"idempotent\",\"service\":\"gone\"}",
		 "",
		 {"route \"x\"", "no service \"gone\""},
		 1},
		{",{\"name\":7}",
		 ",{\"name\":\"x\",\"host\":\"o\",\"path-prefix\":\"/"
		 "\",\"route-kind\":\"idempotent\",\"service\":\"t\"}",
		 "",
		 {"service 2", "name"},
		 2},
		{"",
		 ",{\"name\":\"x\",\"host\":\"o\",\"path-prefix\":\"/"
		 "\",\"route-kind\":\"idempotent\",\"service\":\"s\",\"allow-anonymous\":\"false\"}",
		 "",
		 {"route \"x\"", "allow-anonymous"},
		 1},
		{"",
		 ",{\"name\":\"x\",\"host\":\"o\",\"path-prefix\":\"/"
		 "\",\"route-kind\":\"idempotent\",\"service\":\"s\",\"timeout-ms\":\"7\"}",
		 "",
		 {"route \"x\"", "timeout-ms"},
		 1},
		{"",
		 ",{\"name\":\"x\",\"host\":\"o\",\"path-prefix\":\"/"
		 "\",\"route-kind\":\"idempotent\",\"traffic-split\":[{\"service\":\"s\",\"weight\":1},{\"weight\":1}"
		 "]}",
		 "",
		 {"route \"x\"", "service"},
		 1},
		{"",
		 ",{\"name\":\"x\",\"path-prefix\":\"/\",\"route-kind\":\"idempotent\",\"service\":\"s\"}",
		 "",
		 {"route \"x\"", "host"},
		 1},
		{"", "", ",{\"name\":7,\"api-keys\":[\"o\"]}", {"tenant 2", "name"}, 1},
		{"", "", ",{\"api-keys\":[\"o\"]}", {"tenant 2", "name"}, 1},
		{"", "", ",{\"name\":\"a\\r\\nX-Tenant: b\",\"api-keys\":[\"o\"]}", {"tenant 2", "control"}, 1},
		{"", "", ",{\"name\":\"u\",\"api-keys\":[null,7,\"p\"]}", {"tenant \"u\"", "api-keys"}, 1},
		{"", "", ",{\"name\":\"u\",\"api-keys\":\"p\"}", {"tenant \"u\"", "api-keys"}, 1},
		{"", "", ",{\"name\":7,\"api-keys\":[\"k\",\"o\"]}", {"tenant 2", "name"}, 1},
		{"", "", ",null", {"tenant 2", "name"}, 1},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Table); i++) {
		GError *error = NULL;
		uint64_t version;
		const BH__RouteRule *rule;
		const BH__KeyOwner *owner;
		char *text = g_strdup_printf(
			"{\"version\":9,\"services\":[{\"name\":\"s\"}%s],\"routes\":[{\"name\":\"r\","
			"\"host\":\"h\",\"path-prefix\":\"/\",\"route-kind\":\"idempotent\",\"service\":\"s\"}%s],"
			"\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k\"]}%s]}",
			Table[i].services, Table[i].routes, Table[i].owners);
		BH__Routing *r = platform_decode_routing(text, strlen(text), &version, &error);
		assert_non_null(r);
		assert_int_equal(bh__routing_get_refusal_count(r), Table[i].count);
		for (unsigned k = 0; Table[i].count && k < 2; k++)
			if (!strstr(bh__routing_get_refusal(r, 0), Table[i].named[k]))
				fail_msg("row %u: \"%s\" names no %s", (unsigned)i, bh__routing_get_refusal(r, 0),
						 Table[i].named[k]);
		assert_int_equal(bh__routing_admit(r, "h", "/x", "k", &rule, &owner), BH__ROUTING_ADMITTED);
		assert_int_equal(bh__routing_admit(r, "h", "/x", "", &rule, &owner), BH__ROUTING_UNKNOWN_KEY);
		assert_int_equal(bh__routing_admit(r, "h", "/x", "n", &rule, &owner), BH__ROUTING_UNKNOWN_KEY);
		if (strstr(Table[i].routes, "\"o\""))
			assert_int_equal(bh__routing_admit(r, "o", "/x", "k", &rule, &owner), BH__ROUTING_PART_REFUSED);
		if (strstr(Table[i].owners, "\"o\""))
			assert_int_equal(bh__routing_admit(r, "h", "/x", "o", &rule, &owner), BH__ROUTING_PART_REFUSED);
		if (strstr(Table[i].owners, "[null,7,"))
			assert_int_equal(bh__routing_admit(r, "h", "/x", "p", &rule, &owner), BH__ROUTING_ADMITTED);
		bh__routing_unref(r);
		g_free(text);
	}
}

/* Names have no bound of ours: a sound configuration with a long one was refused. */
static void names_of_any_length_are_taken_(void **state)
{
	static const size_t Lengths[] = {1, 40, 63, 64, 79, 100, 1000, 60000};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Lengths); i++) {
		char *name = g_strnfill(Lengths[i], 'n');
		char *text = g_strdup_printf(
			"{\"version\":9,\"services\":[{\"name\":\"%s\"},{\"name\":\"%sx\"}],\"routes\":[{\"name\":"
			"\"%s\",\"host\":\"h\",\"path-prefix\":\"/\",\"route-kind\":\"idempotent\",\"service\":\"%s\"}],"
			"\"tenants\":[{\"name\":\"%s\",\"api-keys\":[\"%s\"]}]}",
			name, name, name, name, name, name);
		char *entry = g_strdup_printf(
			"{\"service\":\"%s\",\"address\":\"10.1.0.9:80\",\"slots\":1,\"state\":\"ready\"}", name);
		uint64_t version;
		const BH__RouteRule *rule;
		const BH__KeyOwner *owner;
		BH__EndpointEntry e;
		BH__Routing *r = platform_decode_routing(text, strlen(text), &version, NULL);
		assert_int_equal(bh__routing_get_refusal_count(r), 0);
		assert_int_equal(bh__routing_admit(r, "h", "/x", name, &rule, &owner), BH__ROUTING_ADMITTED);
		assert_string_equal(rule->name, name);
		assert_string_equal(owner->name, name);
		assert_true(platform_decode_endpoint("i", entry, strlen(entry), NOW_US, &e, NULL));
		assert_string_equal(e.service, bh__route_rule_pick_service(rule, 1));
		assert_ptr_equal(bh__routing_find_service(r, e.service), bh__routing_get_service(r, 0));
		assert_string_not_equal(bh__routing_get_service(r, 0)->name, bh__routing_get_service(r, 1)->name);
		bh__routing_unref(r);
		g_free(entry);
		g_free(text);
		g_free(name);
	}
}

/* A route may be split among any number of services. */
static void a_split_among_many_services_is_taken_(void **state)
{
	enum { SERVICES = 200 };
	GString *text = g_string_new("{\"version\":9,\"services\":[");
	const BH__RouteRule *rule;
	uint64_t version;
	BH__Routing *r;

	(void)state;
	for (int i = 0; i < SERVICES; i++)
		g_string_append_printf(text, "%s{\"name\":\"s%d\"}", i ? "," : "", i);
	g_string_append(
		text,
		"],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/\",\"route-kind\":\"idempotent\","
		"\"traffic-split\":[");
	for (int i = 0; i < SERVICES; i++)
		g_string_append_printf(text, "%s{\"service\":\"s%d\",\"weight\":1}", i ? "," : "", i);
	g_string_append(text, "]}]}");
	r = platform_decode_routing(text->str, text->len, &version, NULL);
	assert_int_equal(bh__routing_get_refusal_count(r), 0);
	rule = bh__routing_match(r, "h", "/x");
	assert_string_equal(bh__route_rule_pick_service(rule, SERVICES - 1), "s199");
	bh__routing_unref(r);
	g_string_free(text, TRUE);
}

/* Damage anywhere is refused or read, and crashes nothing. */
static void damaged_configurations_crash_nothing_(void **state)
{
	GRand *rand = g_rand_new_with_seed(3);

	(void)state;
	for (int i = 0; i < DAMAGES; i++) {
		char *text = g_strdup(Configuration_);
		GError *error = NULL;
		uint64_t version;
		BH__Routing *r;
		for (int k = g_rand_int_range(rand, 1, 6); k > 0; k--)
			text[g_rand_int_range(rand, 0, (gint32)strlen(Configuration_))] =
				(char)g_rand_int_range(rand, 32, 127);
		r = platform_decode_routing(text, strlen(Configuration_), &version, &error);
		assert_true((r == NULL) == (error != NULL));
		if (r && bh__routing_find_owner(r, "k1")) /* no key is served that the text does not hold */
			assert_non_null(strstr(text, "\"k1\""));
		if (r && !strstr(text, "tenants")) /* the field itself is damaged: accounts are not there */
			assert_false(bh__routing_has_owners(r));
		bh__routing_unref(r);
		g_clear_error(&error);
		g_free(text);
	}
	g_rand_free(rand);
}

/* An entry of the record of duties names a node and its address, or is none. */
static void a_recorded_node_is_decoded_(void **state)
{
	static const char Text[] = "{\"node\":\"n-1\",\"hall\":\"h\",\"peer_address\":\"10.0.0.1:7000\","
							   "\"caller_address\":\"10.0.0.1:80\",\"capacity\":250}";
	static const struct {
		const char *text;
		const char *named;
	} Wrong[] = {{"", "JSON"},
				 {"{}", "\"node\""},
				 {"{\"node\":7,\"hall\":\"h\"}", "\"node\""},
				 {"{\"node\":\"n-1\",\"hall\":\"h\"}", "\"peer_address\""}};
	BH__MemberInfo info;

	(void)state;
	assert_true(platform_decode_node("s", Text, strlen(Text), &info, NULL));
	assert_string_equal(info.name, "n-1");
	assert_string_equal(info.peer_address, "10.0.0.1:7000");
	assert_int_equal(info.capacity, 250);
	for (size_t i = 0; i < G_N_ELEMENTS(Wrong); i++) {
		GError *error = NULL;
		assert_false(platform_decode_node("s", Wrong[i].text, strlen(Wrong[i].text), &info, &error));
		assert_non_null(strstr(error->message, Wrong[i].named));
		g_error_free(error);
	}
}

/* How long an endpoint is still cold is told as a length; what cannot be one is passed over. */
static void an_endpoint_tells_how_long_it_is_cold_(void **state)
{
	static const char Entry[] =
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16,\"state\":\"ready\","
		"\"cold-remaining-ms\":%s}";
	static const struct {
		const char *told;
		uint64_t cold_us;
	} Cases[] = {
		{"0", 0}, {"1500", 1500 * BH__MS_US}, {"-3", 0}, {"\"long\"", 0}, {"1e18", 3600 * BH__SECOND_US}};
	BH__EndpointEntry e;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
		char *text = g_strdup_printf(Entry, Cases[i].told);
		assert_true(platform_decode_endpoint("i-1", text, strlen(text), NOW_US, &e, NULL));
		assert_int_equal(e.cold_until_us, Cases[i].cold_us ? NOW_US + Cases[i].cold_us : 0);
		g_free(text);
	}
}

static void an_endpoint_is_decoded_(void **state)
{
	static const char Text[] =
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":16,"
		"\"state\":\"draining\",\"sequence\":4}";
	BH__EndpointEntry e;
	GError *error = NULL;

	(void)state;
	assert_true(platform_decode_endpoint("i-1", Text, strlen(Text), NOW_US, &e, NULL));
	assert_string_equal(e.id, "i-1");
	assert_string_equal(e.hall, "z");
	assert_int_equal(e.slots, 16);
	assert_true(e.draining);
	assert_false(platform_decode_endpoint("i-1", "{\"service\":\"llm\"}", 17, NOW_US, &e, &error));
	assert_non_null(strstr(error->message, "address"));
	g_error_free(error);
}

/* Entries that another writer left, with fields missing or of another type, name no endpoint. */
static void an_entry_of_another_writer_names_no_endpoint_(void **state)
{
	static const char *const Entries[] = {
		"",
		"\xff\xfe\x00",
		"null",
		"[]",
		"17",
		"\"ready\"",
		"{}",
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16}",
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16,\"state\":\"paused\"}",
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16,\"state\":1}",
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":\"16\",\"state\":\"ready\"}",
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":-1,\"state\":\"ready\"}",
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16,\"state\":\"ready\",\"born\":\"now\"}",
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16,\"state\":\"ready\",\"born\":1.5}",
		"{\"service\":\"llm\",\"address\":\"nowhere\",\"slots\":16,\"state\":\"ready\"}",
		"{\"service\":7,\"address\":\"10.1.0.9:80\",\"slots\":16,\"state\":\"ready\"}",
		"{\"service\":\"llm\",\"address\":[],\"slots\":16,\"state\":\"ready\"}",
	};
	BH__EndpointEntry e;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Entries); i++) {
		GError *error = NULL;
		assert_false(platform_decode_endpoint("i-1", Entries[i], strlen(Entries[i]), NOW_US, &e, &error));
		assert_non_null(error);
		g_error_free(error);
	}
}

/* Ten thousand entries that are refused, and one that is refused each second for ten minutes, cost few lines.
 */
static void few_of_many_odd_entries_are_named_(void **state)
{
	OddEntries o = {0};
	unsigned named = 0;
	unsigned told = 0;
	uint64_t counted = 0;
	unsigned noted = 0;

	(void)state;
	for (unsigned i = 0; i < 10000; i++, noted++) {
		char *key = g_strdup_printf("servers/odd-%u", i);
		named += odd_entries_note(&o, key, NOW_US);
		g_free(key);
	}
	assert_int_equal(named, ODD_ENTRIES_NAMED_MAX);
	for (unsigned s = 0; s < 600; s++, noted++) {
		uint64_t unnamed;
		named += odd_entries_note(&o, "servers/again", NOW_US + (s + 60) * BH__SECOND_US);
		unnamed = odd_entries_take_unnamed(&o, NOW_US + (s + 60) * BH__SECOND_US);
		counted += unnamed;
		told += unnamed > 0;
	}
	assert_int_equal(named, ODD_ENTRIES_NAMED_MAX + 10);
	assert_true(told <= 61);
	assert_int_equal(named + counted + o.unnamed, noted);
}

/* An id that breaks the line would end the header in which its endpoint gets it. */
static void an_endpoint_with_control_characters_in_its_id_is_refused_(void **state)
{
	static const char *const Ids[] = {"i\n1", "i\r\nPriority: 1", "\x01", "i\x7f"};
	static const char Entry[] =
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16,\"state\":\"ready\"}";
	BH__EndpointEntry e;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Ids); i++) {
		GError *error = NULL;
		assert_false(platform_decode_endpoint(Ids[i], Entry, strlen(Entry), NOW_US, &e, &error));
		assert_non_null(strstr(error->message, "id"));
		g_error_free(error);
	}
}

/* A text with a NUL in it is not the one before that: neither a state nor a key. */
static void texts_with_a_nul_are_no_others_(void **state)
{
	static const char Entry[] = "{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16,"
								"\"state\":\"ready\\u0000x\"}";
	static const char Keys[] = "{\"version\":1,\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\\u0000x\"]}]}";
	uint64_t version;
	BH__Routing *r = platform_decode_routing(Keys, strlen(Keys), &version, NULL);
	BH__EndpointEntry e;

	(void)state;
	assert_false(platform_decode_endpoint("i-1", Entry, strlen(Entry), NOW_US, &e, NULL));
	assert_null(bh__routing_find_owner(r, "k1"));
	assert_int_equal(bh__routing_get_refusal_count(r), 1);
	bh__routing_unref(r);
}

/* Numbers of any size and kind. */
static const char *const Numbers_[] = {"-1",
									   "-1e999",
									   "1e999",
									   "-1e30",
									   "1e30",
									   "1.8446744073709552e19",
									   "9223372036854775808",
									   "18446744073709551615",
									   "18446744073709551616",
									   "99999999999999999999",
									   "-99999999999999999999",
									   "NaN",
									   "Infinity",
									   "-Infinity",
									   "0.5",
									   "1e-320",
									   "null",
									   "\"7\"",
									   "[]"};

/* A number of an entry that no endpoint can have names the field; no value is made of it. */
static void numbers_that_no_endpoint_has_are_refused_(void **state)
{
	static const char *const Fields[] = {"slots", "born"};
	static const char *const Large[] = {"1e999",
										"9223372036854775808",
										"18446744073709551615",
										"99999999999999999999",
										"9007199254740993",
										"-1",
										"NaN"};
	BH__EndpointEntry e;

	(void)state;
	for (size_t f = 0; f < G_N_ELEMENTS(Fields); f++) {
		for (size_t i = 0; i < G_N_ELEMENTS(Large); i++) {
			char *text =
				g_strdup_printf("{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"state\":\"ready\","
								"\"%s\":%s}",
								Fields[f], Large[i]);
			GError *error = NULL;
			assert_false(platform_decode_endpoint("i-1", text, strlen(text), NOW_US, &e, &error));
			assert_non_null(strstr(error->message, Fields[f]));
			g_clear_error(&error);
			g_free(text);
		}
	}
}

/* Whatever number stands in a field of an entry or of the configuration, what is taken lies within bounds. */
static void numbers_of_any_size_are_taken_within_bounds_(void **state)
{
	static const char *const Fields[] = {"slots",       "kv-tokens",  "stride",        "chunk",
										 "step_ms",     "per_seq_ms", "context_per_k", "read_per_s",
										 "pairs_per_m", "hop_ms",     "report_lag_ms"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Numbers_); i++) {
		char *entry = g_strdup_printf("{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"state\":\"ready\","
									  "\"cold-remaining-ms\":%s,\"sequence\":%s}",
									  Numbers_[i], Numbers_[i]);
		BH__EndpointEntry e;
		assert_true(platform_decode_endpoint("i-1", entry, strlen(entry), NOW_US, &e, NULL));
		assert_true(!e.cold_until_us ||
					(e.cold_until_us >= NOW_US && e.cold_until_us <= NOW_US + 3600 * BH__SECOND_US));
		g_free(entry);
		for (size_t f = 0; f < G_N_ELEMENTS(Fields); f++) {
			char *text = g_strdup_printf("{\"version\":1,\"services\":[{\"name\":\"llm\",\"cold-per-s\":%s,"
										 "\"max-connections\":%s,\"engine-kind\":{\"%s\":%s}}],"
										 "\"limits\":{\"max-body-bytes\":%s}}",
										 Numbers_[i], Numbers_[i], Fields[f], Numbers_[i], Numbers_[i]);
			uint64_t version;
			BH__Routing *r = platform_decode_routing(text, strlen(text), &version, NULL);
			const BH__ServiceSpec *s = bh__routing_find_service(r, "llm");
			const BH__EngineModel *m = &s->engine;
			assert_true(s->cold_per_s >= 0 && s->cold_per_s <= 1e9);
			assert_true(m->slots >= 1 && m->slots <= 1000000);
			assert_true(m->kv_tokens <= UINT64_C(1000000000000));
			assert_true(m->step_ms >= 0 && m->step_ms <= 1e5);
			assert_true(m->per_stream_ms >= 0 && m->per_stream_ms <= 1e5);
			assert_true(m->per_kilotoken_ms >= 0 && m->per_kilotoken_ms <= 1e5);
			assert_true(m->per_megapair_ms >= 0 && m->per_megapair_ms <= 1e5);
			assert_true(m->hop_ms >= 0 && m->hop_ms <= 1e5);
			assert_true(m->report_lag_ms >= 0 && m->report_lag_ms <= 1e5);
			assert_true(m->prefill_tokens_per_ms > 0 && m->prefill_tokens_per_ms <= 1e9);
			assert_true(bh__routing_get_limits(r)->max_body_bytes >= 1 &&
						bh__routing_get_limits(r)->max_body_bytes <= UINT64_C(1000000000000000));
			bh__routing_unref(r);
			g_free(text);
		}
	}
}

/* Numbers of callers' headers that no 64 bits hold, or not in our unit, are large ones and no others. */
static void large_numbers_of_callers_stay_large_(void **state)
{
	static const char *const Large[] = {"18446744073709552", "18446744073709551615",
										"99999999999999999999999"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Large); i++) {
		RequestMeta m = {0};
		char *tokens = g_strdup_printf("%s,%s", Large[i], Large[i]);
		platform_read_request_header(&m, "X-Time-Budget-Ms", Large[i]);
		platform_read_request_header(&m, "X-Token-Usage", tokens);
		assert_true(m.time_left_us >= 3600 * BH__SECOND_US && m.time_left_us <= INT64_MAX / 1000);
		assert_true(m.prompt_tokens == 100000000 && m.max_tokens == 100000000);
		platform_read_request_header(&m, "X-Time-Budget-Ms", "-5");
		assert_int_equal(m.time_left_us, 0);
		g_free(tokens);
	}
}

static const char *const WrongAddresses_[] = {"nowhere.example:80",
											  "localhost:80",
											  "a b:80",
											  "127.0.0.1:80abc",
											  "127.0.0.1: 80",
											  "127.0.0.1:+80",
											  "127.0.0.1:-1",
											  "127.0.0.1:0",
											  "127.0.0.1:080",
											  "127.0.0.1:70000",
											  "127.0.0.1:65536",
											  "127.0.0.1:99999999999999999999",
											  "127.0.0.1:",
											  "127.0.0.1",
											  ":80",
											  "[::1]:80",
											  "::1:80",
											  "127.0.0.1:18446744073709551696",
											  "127.1:80",
											  "0x7f.0.0.1:80",
											  "127.0.0.1 :80",
											  " 127.0.0.1:80",
											  "127.0.0.1:80\\n",
											  "127.0.0.1:80\\u0000",
											  "0.0.0.0:80",
											  "127.0.0.1:80/",
											  "http://127.0.0.1:80",
											  "127.0.0.1:80,10.0.0.1:80",
											  "127.0.0.256:80",
											  "127.0.0.1:-18446744073709551536"};

/* What is no numeric address and port is refused with its field, wherever an address comes from. */
static void addresses_that_are_none_are_refused_(void **state)
{
	static const char *const Fields[] = {"peer_address", "caller_address"};
	BH__EndpointEntry e;
	BH__MemberInfo info;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(WrongAddresses_); i++) {
		GError *error = NULL;
		char *text = g_strdup_printf(
			"{\"service\":\"llm\",\"address\":\"%s\",\"slots\":16,\"state\":\"ready\"}", WrongAddresses_[i]);
		assert_false(platform_decode_endpoint("i-1", text, strlen(text), NOW_US, &e, &error));
		assert_non_null(strstr(error->message, "\"address\""));
		g_clear_error(&error);
		g_free(text);
		for (size_t f = 0; f < G_N_ELEMENTS(Fields); f++) {
			text = g_strdup_printf("{\"node\":\"n-1\",\"hall\":\"h\",\"%s\":\"%s\",\"%s\":\"10.0.0.1:80\"}",
								   Fields[f], WrongAddresses_[i], Fields[1 - f]);
			assert_false(platform_decode_node("s", text, strlen(text), &info, &error));
			assert_non_null(strstr(error->message, Fields[f]));
			g_clear_error(&error);
			g_free(text);
		}
	}
}

static void an_endpoint_tells_when_it_started_(void **state)
{
	static const char Text[] = "{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16,"
							   "\"state\":\"ready\",\"born\":1767886258748}";
	BH__EndpointEntry e;

	(void)state;
	assert_true(platform_decode_endpoint("i-1", Text, strlen(Text), NOW_US, &e, NULL));
	assert_true(e.born_ms == 1767886258748);
}

/* An endpoint whose id is cut is another one, and what it is sent names no endpoint. */
static void an_endpoint_with_an_id_that_does_not_fit_is_refused_(void **state)
{
	static const char Entry[] =
		"{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"slots\":16,\"state\":\"ready\"}";
	char *id = g_strnfill(BH__NAME_LEN, 'i');
	GError *error = NULL;
	BH__EndpointEntry e;

	(void)state;
	assert_false(platform_decode_endpoint(id, Entry, strlen(Entry), NOW_US, &e, &error));
	assert_non_null(strstr(error->message, "id"));
	g_error_free(error);
	id[BH__NAME_LEN - 1] = '\0';
	assert_true(platform_decode_endpoint(id, Entry, strlen(Entry), NOW_US, &e, NULL));
	assert_string_equal(e.id, id);
	g_free(id);
}

/* A caller can't set what is ours to set, and its key goes no further. */
static void callers_headers_are_sorted_(void **state)
{
	static const char *const Dropped[] = {"X-Tenant",         "x-expect-replica", "Helpers",
										  "Priority",         "Expect-Version",   "X-Api-Key",
										  "X-Time-Budget-Ms", "X-Attempt-Id",     "Last-Event-Id"};
	RequestMeta m = {0};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Dropped); i++)
		assert_int_equal(platform_read_request_header(&m, Dropped[i], "12"), HEADER_DROP);
	assert_int_equal(platform_read_request_header(&m, "X-Token-Usage", "1460,80"), HEADER_PASS);
	assert_int_equal(platform_read_request_header(&m, "X-Model", "m"), HEADER_PASS);
	assert_int_equal(m.prompt_tokens, 1460);
	assert_int_equal(m.max_tokens, 80);
	assert_int_equal(m.time_left_us, 12 * BH__MS_US);
	assert_string_equal(m.key, "12");
	g_free(m.request_id_text);
	g_free(m.key);
	g_free(m.last_event_id);
}

/* A stream that resumes behind an event whose id is cut begins elsewhere, or anew. */
static void the_event_to_resume_from_is_kept_whole_(void **state)
{
	(void)state;
	for (size_t len = 62; len <= 10000; len = len < 66 ? len + 1 : len * 3) {
		char *id = g_strnfill(len, '7');
		RequestMeta m = {0};
		platform_read_request_header(&m, "Last-Event-Id", id);
		assert_string_equal(m.last_event_id, id);
		g_free(m.last_event_id);
		g_free(id);
	}
}

/* A request whose id is cut runs under the id of another, and their answers are each other's. */
static void ids_of_requests_are_kept_whole_(void **state)
{
	(void)state;
	for (size_t len = 78; len <= 10000; len = len < 84 ? len + 1 : len * 3) {
		char *ids[2] = {g_strnfill(len, 'i'), g_strnfill(len, 'i')};
		RequestMeta m = {0};
		AnswerMeta own = {0};
		AnswerMeta other = {0};
		struct evbuffer *out = evbuffer_new();
		DispatchMeta s = {.endpoint = "i-1", .urgency = -1};
		char *line = g_strdup_printf("X-Attempt-Id: %s\r\n", ids[0]);
		ids[1][len - 1] = 'j';
		platform_read_request_header(&m, "X-Attempt-Id", ids[0]);
		platform_read_answer_header(&own, "X-Attempt-Id", ids[0]);
		platform_read_answer_header(&other, "X-Attempt-Id", ids[1]);
		assert_string_equal(own.request_id, m.request_id);
		assert_string_not_equal(other.request_id, m.request_id);
		platform_write_sending_headers(out, &m, &s);
		platform_write_own_headers(out, &m, 0);
		evbuffer_add(out, "", 1);
		assert_non_null(strstr((char *)evbuffer_pullup(out, -1), line));
		assert_non_null(strstr(strstr((char *)evbuffer_pullup(out, -1), line) + 1, line));
		evbuffer_free(out);
		g_free(line);
		g_free(m.request_id_text);
		g_free(ids[0]);
		g_free(ids[1]);
	}
}

/* A key that is cut is another one, and opens what that one opens. */
static void a_key_is_read_whole_(void **state)
{
	RequestMeta m = {0};

	(void)state;
	for (size_t len = 198; len <= 16000; len = len < 202 ? len + 1 : len * 3) {
		char *key = g_strnfill(len, 'k');
		platform_read_request_header(&m, "X-Api-Key", key);
		assert_string_equal(m.key, key);
		g_free(key);
	}
	g_free(m.key);
}

/* The engine at fault is named by its address. */
/* The last part of a prompt is the request's own; of the others each is known by its id, whatever its length.
 */
static void parts_of_a_prompt_are_read_(void **state)
{
	RequestMeta m = {0};
	GString *many = g_string_new("1:1");
	GString *text = g_string_new(NULL);

	(void)state;
	assert_int_equal(
		platform_read_request_header(&m, "X-Prompt-Prefix", "5c1e07a2:800, 91BD3F06:410,e4402b7d:250"),
		HEADER_PASS);
	assert_int_equal(m.shared_parts.count, 2);
	assert_true(m.shared_parts.id[0] == 0x5c1e07a2 && m.shared_parts.id[1] == 0x91bd3f06);
	bh__prompt_parts_write(&m.shared_parts, text);
	assert_string_equal(text->str, "5c1e07a2,91bd3f06");
	platform_read_request_header(&m, "X-Prompt-Prefix", "e4402b7d:250");
	assert_int_equal(m.shared_parts.count, 0);
	platform_read_request_header(&m, "X-Prompt-Prefix", "no number:3,0123456789abcdef01:4,,7:1");
	assert_int_equal(m.shared_parts.count, 3);
	assert_true(m.shared_parts.id[0] != m.shared_parts.id[1] && m.shared_parts.id[1] != 0x0123456789abcdef);
	for (unsigned i = 0; i < 10000; i++)
		g_string_append_printf(many, ",%x:1", i);
	platform_read_request_header(&m, "X-Prompt-Prefix", many->str);
	assert_int_equal(m.shared_parts.count, BH__PROMPT_PARTS_MAX);
	assert_int_equal(m.shared_parts.unlisted, 10000 - BH__PROMPT_PARTS_MAX);
	g_string_truncate(text, 0);
	bh__prompt_parts_write(&m.shared_parts, text);
	assert_string_equal(text->str, "1,0,1,2,3,4,5,6,+9992");
	g_string_free(many, TRUE);
	g_string_free(text, TRUE);
}

static void answers_heads_are_read_(void **state)
{
	AnswerMeta m = {0};

	(void)state;
	platform_read_answer_header(&m, "At-Server", "10.2.64.33:8567");
	platform_read_answer_header(&m, "X-Replica-Load", "3,1,16");
	assert_int_equal(platform_read_answer_header(&m, "X-Not-Executed", "1"), HEADER_DROP);
	assert_int_equal(platform_read_answer_header(&m, "X-Replica-Signature", "s"), HEADER_PASS);
	assert_string_equal(m.at_fault, "10.2.64.33:8567");
	assert_true(m.not_run && m.has_load);
	assert_int_equal(m.waiting, 1);
	assert_true(platform_status_says_not_run(421));
	assert_false(platform_status_says_not_run(503));
}

/* Reads one header of an answer; returns the signal of a kind. */
static BH__Signal read_(const char *name, const char *value, BH__SignalKind kind)
{
	AnswerMeta m = {0};

	assert_int_equal(m.signal[kind].state, BH__SIGNAL_ABSENT);
	assert_int_equal(platform_read_answer_header(&m, name, value), HEADER_PASS);
	return m.signal[kind];
}

/* A decimal number each; anything else is unreadable, and is not taken for a limit, a leaving or a rest. */
static void signals_of_endpoints_are_read_(void **state)
{
	static const char *const Unreadable[] = {
		"", "-1", "nan", "ten", "2.5 a second", "1,5", "Thu, 03 Dec 2026 12:00:00 GMT"};
	static const struct {
		const char *name;
		BH__SignalKind kind;
		double max;
	} Header[] = {{"Server-Limit", BH__SIGNAL_LIMIT, 1e6},
				  {"Server-Leaving", BH__SIGNAL_LEAVING, 1},
				  {"Retry-After", BH__SIGNAL_BACKOFF, 3600}};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Header); i++) {
		BH__SignalKind kind = Header[i].kind;
		char *lower = g_ascii_strdown(Header[i].name, -1);
		assert_int_equal(read_(lower, "0.25 ", kind).state, BH__SIGNAL_PRESENT);
		assert_true(read_(lower, "0.25 ", kind).value == 0.25);
		assert_int_equal(read_(lower, "0", kind).state, BH__SIGNAL_PRESENT);
		assert_true(read_(lower, "0", kind).value == 0);
		assert_int_equal(read_(lower, "1e300", kind).state, BH__SIGNAL_PRESENT);
		assert_true(read_(lower, "1e300", kind).value == Header[i].max);
		for (size_t k = 0; k < G_N_ELEMENTS(Unreadable); k++) {
			BH__Signal s = read_(Header[i].name, Unreadable[k], kind);
			assert_int_equal(s.state, BH__SIGNAL_INVALID);
			assert_true(g_str_has_prefix(Unreadable[k], s.text));
			assert_true(strlen(s.text) == MIN(strlen(Unreadable[k]), sizeof s.text - 1));
		}
		g_free(lower);
	}
}

/* Of two in one answer the strictest counts, in either order, and one that can't be read takes nothing away.
 */
static void the_strictest_of_two_signals_counts_(void **state)
{
	static const struct {
		const char *name;
		const char *value[2];
		BH__SignalKind kind;
		double wanted;
	} Case[] = {{"Server-Limit", {"2", "3"}, BH__SIGNAL_LIMIT, 2},
				{"Server-Leaving", {"1", "0"}, BH__SIGNAL_LEAVING, 1},
				{"Retry-After", {"3", "0.5"}, BH__SIGNAL_BACKOFF, 3},
				{"Retry-After", {"3", "soon"}, BH__SIGNAL_BACKOFF, 3}};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Case); i++) {
		for (unsigned first = 0; first < 2; first++) {
			AnswerMeta m = {0};
			platform_read_answer_header(&m, Case[i].name, Case[i].value[first]);
			platform_read_answer_header(&m, Case[i].name, Case[i].value[!first]);
			assert_int_equal(m.signal[Case[i].kind].state, BH__SIGNAL_PRESENT);
			assert_true(m.signal[Case[i].kind].value == Case[i].wanted);
		}
	}
}

/* A header that nobody knows goes on, and is told apart from those that are known to say nothing. */
static void unknown_headers_are_told_apart_(void **state)
{
	AnswerMeta m = {0};

	(void)state;
	assert_int_equal(platform_read_answer_header(&m, "Server-Mood", "1"), HEADER_UNKNOWN);
	assert_int_equal(platform_read_answer_header(&m, "content-type", "text/plain"), HEADER_PASS);
	assert_int_equal(platform_read_answer_header(&m, "X-Replica-Load", "1,0,8"), HEADER_PASS);
}

static void on_called_(void *ctx, int status, const char *body, size_t len)
{
	(void)body;
	assert_int_equal(status, 0);
	assert_int_equal(len, 0);
	(*(unsigned *)ctx)++;
}

/* A call that fails before it has begun says so from the loop, like any other: callers keep what http_call()
 * returns, and free what they gave it when they are told. */
/* The head of an answer, and nothing more. */
static void on_asked_(struct evhttp_request *req, void *arg)
{
	(void)arg;
	evhttp_send_reply_start(req, 200, "OK");
}

static void a_call_says_that_its_answer_has_begun_(void **state)
{
	struct event_base *base = event_base_new();
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
	ev_socklen_t len = sizeof(struct sockaddr_in);
	struct sockaddr_in at;
	unsigned called = 0;
	char address[32];
	HttpCall *call;

	(void)state;
	assert_non_null(bound);
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&at, &len);
	snprintf(address, sizeof address, "127.0.0.1:%u", ntohs(at.sin_port));
	evhttp_set_gencb(http, on_asked_, NULL);
	call = http_call(base, address, EVHTTP_REQ_GET, "/", NULL, 300, on_called_, &called);
	assert_false(http_call_has_begun(call));
	for (unsigned i = 0; i < 1000 && !called && !http_call_has_begun(call); i++)
		event_base_loop(base, EVLOOP_ONCE);
	assert_int_equal(called, 0);
	assert_true(http_call_has_begun(call));
	evhttp_free(http);
	while (!called)
		event_base_loop(base, EVLOOP_ONCE);
	event_base_loop(base, EVLOOP_NONBLOCK);
	event_base_free(base);
}

static void a_call_that_fails_at_once_says_so_later_(void **state)
{
	struct event_base *base = event_base_new();
	unsigned called = 0;

	(void)state;
	http_call(base, "no address", EVHTTP_REQ_GET, "/", NULL, 100, on_called_, &called);
	assert_int_equal(called, 0);
	event_base_dispatch(base);
	assert_int_equal(called, 1);
	event_base_free(base);
}

static void sendings_name_their_helpers_(void **state)
{
	struct evbuffer *out = evbuffer_new();
	RequestMeta m = {.request_id_text = "abc"};
	DispatchMeta s = {.endpoint = "i-1", .account = "t", .time_left_us = 1500 * BH__MS_US, .urgency = -1};
	char *text;

	(void)state;
	s.helper_count = 2;
	s.helper[0].address = "10.0.0.1:80";
	s.helper[0].memory_id = "m1";
	s.helper[1].address = "10.0.0.2:80";
	platform_write_sending_headers(out, &m, &s);
	evbuffer_add(out, "", 1);
	text = (char *)evbuffer_pullup(out, -1);
	assert_non_null(strstr(text, "Helpers: 10.0.0.1:80/m1,10.0.0.2:80\r\n"));
	assert_non_null(strstr(text, "X-Time-Budget-Ms: 1500\r\n"));
	assert_non_null(strstr(text, "X-Expect-Replica: i-1\r\n"));
	assert_non_null(strstr(text, "X-Tenant: t\r\n"));
	assert_null(strstr(text, "Priority"));
	evbuffer_free(out);
}

/* Guards against another system's success as an engine's answer to an order, or its report. */
static void another_systems_success_is_no_answer_(void **state)
{
	static const struct {
		int status;
		const char *body;
		bool is_answer;
	} Table[] = {
		{200, "{\"free\":41200}", true},
		{200, "{\"free\":0,\"held\":3}", true},
		{202, "{\"free\":41200}", false}, /* it is waited for */
		{503, "{\"free\":41200}", false},
		{0, "", false},
		{200, "", false},
		{200, "{}", false},
		{200, "null", false},
		{200, "[1]", false},
		{200, "<html>welcome</html>", false},
		{200, "{\"free\":\"yes\"}", false},
		{200, "{\"free\":null}", false},
		{200, "{\"items\":[],\"more\":false,\"at\":530}", false},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Table); i++) {
		struct json_object *o =
			http_parse_answer(Table[i].status, Table[i].body, strlen(Table[i].body), "free");
		if ((o != NULL) != Table[i].is_answer)
			fail_msg("%d %s", Table[i].status, Table[i].body);
		json_object_put(o);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_configuration_is_decoded_),
		cmocka_unit_test(wrong_configurations_name_the_field_),
		cmocka_unit_test(a_wrong_part_is_left_out_by_name_),
		cmocka_unit_test(names_of_any_length_are_taken_),
		cmocka_unit_test(a_split_among_many_services_is_taken_),
		cmocka_unit_test(damaged_configurations_crash_nothing_),
		cmocka_unit_test(a_recorded_node_is_decoded_),
		cmocka_unit_test(an_endpoint_is_decoded_),
		cmocka_unit_test(an_endpoint_tells_how_long_it_is_cold_),
		cmocka_unit_test(an_entry_of_another_writer_names_no_endpoint_),
		cmocka_unit_test(an_endpoint_tells_when_it_started_),
		cmocka_unit_test(few_of_many_odd_entries_are_named_),
		cmocka_unit_test(an_endpoint_with_control_characters_in_its_id_is_refused_),
		cmocka_unit_test(texts_with_a_nul_are_no_others_),
		cmocka_unit_test(addresses_that_are_none_are_refused_),
		cmocka_unit_test(numbers_that_no_endpoint_has_are_refused_),
		cmocka_unit_test(numbers_of_any_size_are_taken_within_bounds_),
		cmocka_unit_test(large_numbers_of_callers_stay_large_),
		cmocka_unit_test(an_endpoint_with_an_id_that_does_not_fit_is_refused_),
		cmocka_unit_test(callers_headers_are_sorted_),
		cmocka_unit_test(a_key_is_read_whole_),
		cmocka_unit_test(ids_of_requests_are_kept_whole_),
		cmocka_unit_test(the_event_to_resume_from_is_kept_whole_),
		cmocka_unit_test(parts_of_a_prompt_are_read_),
		cmocka_unit_test(answers_heads_are_read_),
		cmocka_unit_test(signals_of_endpoints_are_read_),
		cmocka_unit_test(the_strictest_of_two_signals_counts_),
		cmocka_unit_test(unknown_headers_are_told_apart_),
		cmocka_unit_test(a_call_that_fails_at_once_says_so_later_),
		cmocka_unit_test(another_systems_success_is_no_answer_),
		cmocka_unit_test(a_call_says_that_its_answer_has_begun_),
		cmocka_unit_test(sendings_name_their_helpers_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

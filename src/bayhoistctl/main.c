/* SPDX-License-Identifier: BSD-3-Clause */
/* bayhoistctl: the operators' client. */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include "ctl.h"
#include "version.h"

enum { OPTION_CHANGE_ID = 256, OPTION_SVG, OPTION_LOG, OPTION_COUNT, OPTION_CA };

static void usage_(FILE *out);
static int run_(const Options *o, char **arguments);
static bool needs_no_node_(const Options *o, char **arguments);

static void usage_(FILE *out)
{
	fputs(
		"Usage: bayhoistctl [OPTIONS] COMMAND\n"
		"Commands:\n"
		"  apply FILE...        apply resources ({\"resources\": [...]}, comments allowed)\n"
		"  get [KIND [NAME]]    show resources with generation and status\n"
		"  watch                show changes of the configuration as they come into force\n"
		"  status               show nodes, pools and endpoints\n"
		"  drain [ENDPOINT]     stop the node without cutting off a request, or mark an endpoint as leaving\n"
		"  drain --hall HALL [off]\n"
		"                       have the endpoints of a data hall receive nothing new, or take that back\n"
		"  where                show which addresses a caller is told to use\n"
		"  configuration\n"
		"  links\n"
		"  prefill              show how many engines are reserved for tight streams, as a gateway sees it\n"
		"  paths                show the paths to other data halls as the gateway with control address\n"
		"                       --node knows them\n"
		"  bookings             show the long prompts that wait at the gateway that schedules them, and "
		"when\n"
		"                       they are to start; --node is a gateway's control address\n"
		"  suspects [FINGERPRINT [release]]\n"
		"                       show requests that crash endpoints, or let one go; --node is a gateway's\n"
		"                       control address, and --key for a release the key that the nodes share\n"
		"  endpoints [SERVICE]  show endpoints as the gateway with control address --node knows them\n"
		"  halls [IP:PORT...]   show halls that drain, and which of the gateways with these control\n"
		"                       addresses (or --node) have not heard of it\n"
		"  timeline             show the events of all nodes in order of time\n"
		"  explain ID LOG...    show a request's way through the gateways' logs, and why it ended so\n"
		"Options:\n"
		"  -n, --node IP:PORT   any node (or BAYHOIST_NODE)\n"
		"  -k, --key KEY        an operator's key (or BAYHOIST_KEY)\n"
		"      --ca FILE        use TLS, trusting these authorities\n"
		"      --hall HALL      for where: the caller's data hall; for drain: the one to drain\n"
		"      --change-id ID   for apply: repeat a change that got no answer under its id\n"
		"      --log FILE       for timeline: add the events in a process's log; may be repeated\n"
		"      --svg FILE       for timeline: write a picture as well\n"
		"      --count N        for watch: stop after N changes\n"
		"  -j, --json           print JSON\n"
		"  -h, --help, -V, --version\n"
		"Exit status: 0 done, 1 refused, 64 wrong usage, 69 no answer, 75 not known whether done.\n",
		out);
}

int main(int argc, char **argv)
{
	static const struct option Long[] = {{"node", required_argument, NULL, 'n'},
										 {"key", required_argument, NULL, 'k'},
										 {"ca", required_argument, NULL, OPTION_CA},
										 {"hall", required_argument, NULL, 'H'},
										 {"change-id", required_argument, NULL, OPTION_CHANGE_ID},
										 {"log", required_argument, NULL, OPTION_LOG},
										 {"svg", required_argument, NULL, OPTION_SVG},
										 {"count", required_argument, NULL, OPTION_COUNT},
										 {"json", no_argument, NULL, 'j'},
										 {"help", no_argument, NULL, 'h'},
										 {"version", no_argument, NULL, 'V'},
										 {NULL, 0, NULL, 0}};
	Options o = {.node = getenv("BAYHOIST_NODE"), .key = getenv("BAYHOIST_KEY"), .logs = g_ptr_array_new()};
	int option;
	int result;

	signal(SIGPIPE, SIG_IGN);
	while ((option = getopt_long(argc, argv, "n:k:H:jhV", Long, NULL)) != -1) {
		switch (option) {
		case 'n':
			o.node = optarg;
			break;
		case 'k':
			o.key = optarg;
			break;
		case OPTION_CA:
			o.ca = optarg;
			break;
		case 'H':
			o.hall = optarg;
			break;
		case OPTION_CHANGE_ID:
			o.change_id = optarg;
			break;
		case OPTION_LOG:
			g_ptr_array_add(o.logs, optarg);
			break;
		case OPTION_SVG:
			o.svg = optarg;
			break;
		case OPTION_COUNT:
			o.count = (unsigned)strtoul(optarg, NULL, 10);
			break;
		case 'j':
			o.json = true;
			break;
		case 'V':
			puts("bayhoistctl " BAYHOIST_VERSION);
			return EX_OK;
		default:
			usage_(option == 'h' ? stdout : stderr);
			return option == 'h' ? EX_OK : EX_USAGE;
		}
	}
	if (optind >= argc) {
		usage_(stderr);
		return EX_USAGE;
	}
	if (!strcmp(argv[optind], "explain")) { /* needs no node */
		g_ptr_array_unref(o.logs);
		return ctl_explain(argv + optind + 1);
	}
	if (!o.node && !needs_no_node_(&o, argv + optind)) {
		fputs("bayhoistctl: which node? Give --node IP:PORT or set BAYHOIST_NODE.\n", stderr);
		return EX_USAGE;
	}
	result = run_(&o, argv + optind);
	g_ptr_array_unref(o.logs);
	return result;
}

/* Logs alone make a time line, and halls may be asked of gateways that are named. */
static bool needs_no_node_(const Options *o, char **arguments)
{
	return (o->logs->len && !strcmp(arguments[0], "timeline")) ||
		   (arguments[1] && !strcmp(arguments[0], "halls"));
}

static int run_(const Options *o, char **arguments)
{
	const char *command = arguments[0];

	if (!strcmp(command, "apply") && arguments[1])
		return ctl_apply(o, arguments + 1);
	if (!strcmp(command, "get"))
		return ctl_get_resources(o, arguments + 1);
	if (!strcmp(command, "watch"))
		return ctl_watch(o);
	if (!strcmp(command, "status"))
		return ctl_status(o);
	if (!strcmp(command, "drain"))
		return ctl_drain(o, arguments + 1);
	if (!strcmp(command, "where"))
		return ctl_where(o);
	if (!strcmp(command, "endpoints"))
		return ctl_endpoints(o, arguments + 1);
	if (!strcmp(command, "halls"))
		return ctl_halls(o, arguments + 1);
	if (!strcmp(command, "bookings"))
		return ctl_bookings(o, arguments + 1);
	if (!strcmp(command, "configuration"))
		return ctl_configuration(o, arguments + 1);
	if (!strcmp(command, "links"))
		return ctl_links(o, arguments + 1);
	if (!strcmp(command, "prefill"))
		return ctl_prefill(o, arguments + 1);
	if (!strcmp(command, "paths"))
		return ctl_paths(o, arguments + 1);
	if (!strcmp(command, "suspects"))
		return ctl_suspects(o, arguments + 1);
	if (!strcmp(command, "timeline"))
		return ctl_timeline(o);
	usage_(stderr);
	return EX_USAGE;
}

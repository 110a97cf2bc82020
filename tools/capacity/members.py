"""Size of the membership list and processor time of reading it, by number of workers.

Run with ``python -m tools.capacity.members``.
"""

import time

from google.protobuf.json_format import MessageToJson, Parse, ParseDict

from ibiscart_schema.generated.target_pb2 import MembershipList
from tools.capacity.region import worker_infos
from tools.capacity.table import fit, print_command, print_table, spread

WORKERS = (24, 212, 425, 850)
REPEATS = 20


def main():
    print_command("tools.capacity.members")
    rows = []
    for count in WORKERS:
        members = MembershipList(version=7)
        # addresses as long as those of a private network
        for info in worker_infos([f"10.20.{n // 250}.{n % 250}:8080" for n in range(count)]):
            ParseDict({**info, "role": "worker"}, members.machines.add())
        text = MessageToJson(members, preserving_proto_field_name=True, indent=None).encode()
        times = []
        for _ in range(REPEATS):
            start = time.process_time()
            Parse(text, MembershipList(), ignore_unknown_fields=True)
            times.append((time.process_time() - start) * 1000)
        rows.append((count, len(text), sorted(times)[REPEATS // 2], spread(times)))
    print_table(("workers", "bytes", "parse ms", "spread"), rows)
    intercept, slope = fit([(row[0], row[2]) for row in rows])
    print(f"parse ms = {intercept:.3g} + {1000 * slope:.3g} workers / 1,000")


if __name__ == "__main__":
    main()

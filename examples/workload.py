"""Generates a workload for each example deployment.

The workloads in the repository were generated with seed 0, the default.

usage: examples/workload.py FOLDER [SEED] [heavy]     (heavy: doubles the share of the widest jobs)
"""
import json
import os
import random
import sys

folder = sys.argv[1]
seed = int(sys.argv[2]) if len(sys.argv) > 2 else 0
wide_share = 4 if "heavy" in sys.argv else 2
HOURS, JOBS_PER_S = 8, 0.018


def service(share, tasks, accelerators, cpus, memory_gb, within, run_s, urgent=False):
    return dict(share=share, tasks=tasks, accelerators=accelerators, cpus=cpus,
                memory_gb=memory_gb, within=within, run_s=run_s, urgent=urgent)


def write(path, seed, accounts, services, bursts, workers):
    rng = random.Random(seed)
    out = []
    count = 0

    def job(at, account, name):
        nonlocal count
        count += 1
        spec = services[name]
        actual = rng.lognormvariate(0, 0.6) * spec["run_s"]
        declared = min(max(actual * 10 ** rng.uniform(-1, 1), 2), 86400)
        line = dict(at_s=round(at, 3), job=f"j{count}", account=account, service=name,
                    tasks=spec["tasks"], accelerators=spec["accelerators"], cpus=spec["cpus"],
                    memory_gb=spec["memory_gb"], within=spec["within"], urgent=spec["urgent"],
                    declared_s=round(declared, 1), actual_s=round(actual, 1))
        if rng.random() < 0.01:
            line["actual_s"] = None
        out.append(line)
        return line

    at = 0
    while at < HOURS * 3600:
        at += rng.expovariate(JOBS_PER_S)
        account = rng.choices([name for name, _ in accounts], [share for _, share in accounts])[0]
        names = list(services)
        name = rng.choices(names, [services[name]["share"] for name in names])[0]
        job(at, account, name)
    for at, account, name, number in bursts:
        burst = [job(at + i * 0.2, account, name) for i in range(number)]
        if number >= 60:
            for line in burst[::5]:
                out.append(dict(at_s=round(line["at_s"] + 120, 3), event="cancel", job=line["job"]))
    for at, event, worker in [(3000, "worker_down", 0), (6600, "worker_up", 0),
                              (9000, "fails_all", 1), (12000, "worker_up", 1),
                              (15000, "worker_down", 2), (15001, "worker_down", 3),
                              (17000, "worker_up", 2), (17000, "worker_up", 3)]:
        out.append(dict(at_s=at, event=event, worker=workers[worker]))
    out.append(dict(at_s=100, job="never", account=accounts[0][0], service="odd", tasks=1,
                    accelerators=16, cpus=1, memory_gb=1, within="worker", urgent=False,
                    declared_s=10, actual_s=10))
    out.sort(key=lambda line: line["at_s"])
    os.makedirs(os.path.dirname(path), exist_ok=True)
    with open(path, "w") as wtr:
        wtr.writelines(json.dumps(line) + "\n" for line in out)


write(f"{folder}/zucca/workload.jsonl", 7 + seed,
      [("bottega-rossi", 4), ("officina-verdi", 3), ("laboratorio-neri", 2), ("atelier-bianchi", 2)],
      {"preview": service(60, 1, 1, 4, 16, "worker", 180),
       "proof": service(6, 1, 1, 4, 16, "worker", 20, True),
       "gallery": service(14, 4, 2, 16, 64, "rack", 900),
       "catalogue": service(wide_share, 2, 8, 64, 256, "rack", 2400),
       "curing-check": service(10, 1, 0, 8, 32, "worker", 120)},
      [(1800, "atelier-bianchi", "preview", 60), (7200, "laboratorio-neri", "gallery", 10),
       (10800, "officina-verdi", "catalogue", 4), (14400, "atelier-bianchi", "preview", 100),
       (20000, "bottega-rossi", "catalogue", 4), (21600, "laboratorio-neri", "preview", 60)],
      ["lom-1-w2", "ven-1-w1", "pie-1-w1", "pie-1-w2"])
write(f"{folder}/consortium/workload.jsonl", 11 + seed,
      [("studio-kandla", 4), ("studio-tapi", 3), ("studio-sabarmati", 3), ("studio-dwarka", 2)],
      {"carving-preview": service(60, 1, 1, 2, 4, "worker", 120),
       "order-proof": service(8, 1, 1, 2, 4, "worker", 15, True),
       "mould-plan": service(14, 1, 4, 8, 16, "worker", 900),
       "delivery-schedule": service(10, 1, 0, 4, 8, "worker", 60),
       "banquet-render": service(wide_share, 2, 8, 16, 32, "rack", 2700)},
      [(1800, "studio-dwarka", "carving-preview", 80), (5400, "studio-sabarmati", "mould-plan", 16),
       (9000, "studio-tapi", "banquet-render", 4), (14400, "studio-dwarka", "carving-preview", 100),
       (19000, "studio-kandla", "banquet-render", 4), (22000, "studio-sabarmati", "carving-preview", 60)],
      ["kut-1-w2", "sur-1-w1", "ahm-1-w1", "ahm-1-w2"])

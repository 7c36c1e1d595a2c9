def run(told): raise SystemExit(3)

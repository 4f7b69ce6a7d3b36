"""Where the entries of a soak listen."""

from lagoontide.bench.soak.entries import EntryProcesses


def test_soaks_beside_each_other_do_not_meet(tmp_path, monkeypatch):
    found = []
    for pid in (40_001, 40_002):
        monkeypatch.setattr("os.getpid", lambda pid=pid: pid)
        found.append(set(EntryProcesses.make(tmp_path, [7001, 7002]).addresses()))
    assert found[0].isdisjoint(found[1])

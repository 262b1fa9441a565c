package certifier_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/certifier"
	"github.com/verbenastand/verbenastand/internal/emulator"
)

// Changed files must be loaded. If a changed file is not a certificate, the old
// certificates must stay in use.
func TestChangedFilesAreReloaded(t *testing.T) {
	directory := t.TempDir()
	files, err := emulator.WriteCertificates(directory)
	require.NoError(t, err)
	c, err := certifier.NewCertifier(files)
	require.NoError(t, err)
	first := c.ClientConfig().Certificates[0].Certificate[0]
	changed, err := c.Reload()
	require.NoError(t, err)
	require.False(t, changed, "nothing has changed")

	_, err = emulator.WriteCertificates(directory)
	require.NoError(t, err)
	require.NoError(t, os.Chtimes(files.CertFile, time.Now(), time.Now().Add(time.Minute)))
	changed, err = c.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	second := c.ClientConfig().Certificates[0].Certificate[0]
	require.NotEqual(t, first, second)

	require.NoError(t, os.WriteFile(files.CAFile, []byte("invalid"), 0o600))
	require.NoError(t, os.Chtimes(files.CAFile, time.Now(), time.Now().Add(2*time.Minute)))
	_, err = c.Reload()
	require.Error(t, err)
	require.Equal(t, second, c.ClientConfig().Certificates[0].Certificate[0])
}

func TestErrorNamesTheMissingFile(t *testing.T) {
	_, err := certifier.NewCertifier(certifier.Config{CertFile: "nowhere.pem", KeyFile: "k", CAFile: "c"})
	require.ErrorContains(t, err, "nowhere.pem")
}
